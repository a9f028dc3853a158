package lemondrift.proxy.discovery;

import java.util.ArrayList;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.events.EndpointList;

/**
 * One endpoint list on its way to the balancer, in slices of bounded cost. It first looks at all
 * endpoints and leaves out what is known already; then come the backends that drain or have gone,
 * as requests must not reach them, and last those that are new or have changed. Decisions thread
 * only.
 */
public final class EndpointListUpdate {
    /** What one slice may cost, where a look at an endpoint costs 1. */
    private static final int MAX_SLICE_COST = 512;

    /** What an update for the balancer costs, by the same measure. */
    private static final int UPDATE_COST = 8;

    /** In their order. */
    private enum Step {
        COMPARE_ENDPOINTS,
        FIND_MISSING,
        WITHDRAW,
        ADD_OR_CHANGE,
        DONE;

        private Step next() {
            return values()[ordinal() + 1];
        }
    }

    private final BackendDirectory directory;
    private final EndpointList list;
    private final boolean knownBeforeStart;
    private final Runnable notifyApplied;

    /** Indexes of the backends that a complete list does not name. */
    private final List<Integer> missing = new ArrayList<>();

    /** Endpoints that drain or have gone. */
    private final List<EndpointList.Endpoint> withdrawn = new ArrayList<>();

    private final List<EndpointList.Endpoint> newOrChanged = new ArrayList<>();
    private Step step = Step.COMPARE_ENDPOINTS;

    /** The next element of the present step. */
    private int position;

    /** By which the directory marks the endpoints; set with the first slice. */
    private int listNumber;

    private int sliceCount;
    private int updateCount;

    /**
     * An update whose first slice is not taken yet.
     *
     * @param knownBeforeStart whether the list is one of before the start
     * @param notifyApplied run by {@link #notifyApplied}
     */
    public EndpointListUpdate(
            BackendDirectory directory,
            EndpointList list,
            boolean knownBeforeStart,
            Runnable notifyApplied) {
        this.directory = directory;
        this.list = list;
        this.knownBeforeStart = knownBeforeStart;
        this.notifyApplied = notifyApplied;
    }

    /** Whether the list is one of before the start. */
    public boolean isKnownBeforeStart() {
        return knownBeforeStart;
    }

    /** Whether the list tells nothing, as a watch call does that ends without news. */
    public boolean isEmpty() {
        return list.endpoints().isEmpty() && !list.complete();
    }

    /** Whether all slices were taken. */
    public boolean isDone() {
        return step == Step.DONE;
    }

    /** Tells whoever asked that the balancer has all of the list. */
    public void notifyApplied() {
        notifyApplied.run();
    }

    /** The endpoints that could not be read, each with the reason. */
    public List<String> unreadable() {
        return list.unreadable();
    }

    /** The next updates for the balancer, perhaps none. */
    public List<EndpointUpdate> nextSlice() {
        if (sliceCount == 0) {
            listNumber = directory.beginList();
        }
        sliceCount++;
        List<EndpointUpdate> updates = new ArrayList<>();
        int costLeft = MAX_SLICE_COST;
        while (costLeft > 0 && step != Step.DONE) {
            costLeft -= advance(updates);
        }
        updateCount += updates.size();
        return updates;
    }

    /** Handles one element, or passes on to the next step; returns the cost. */
    private int advance(List<EndpointUpdate> updates) {
        if (position >= elementCount()) {
            step = step.next();
            position = 0;
            return 0;
        }
        int element = position++;
        switch (step) {
            case COMPARE_ENDPOINTS -> compare(list.endpoints().get(element));
            case FIND_MISSING -> {
                if (directory.isMissingFrom(listNumber, element)) {
                    missing.add(element);
                }
            }
            case WITHDRAW -> withdraw(element, updates);
            default -> directory.apply(newOrChanged.get(element), updates);
        }
        return step == Step.WITHDRAW || step == Step.ADD_OR_CHANGE ? UPDATE_COST : 1;
    }

    private int elementCount() {
        return switch (step) {
            case COMPARE_ENDPOINTS -> list.endpoints().size();
            case FIND_MISSING -> list.complete() ? directory.indexCount() : 0;
            case WITHDRAW -> missing.size() + withdrawn.size();
            case ADD_OR_CHANGE -> newOrChanged.size();
            case DONE -> Integer.MAX_VALUE;
        };
    }

    private void compare(EndpointList.Endpoint endpoint) {
        if (directory.markListed(listNumber, endpoint)) {
            boolean ready = endpoint.state() == EndpointUpdate.State.READY;
            (ready ? newOrChanged : withdrawn).add(endpoint);
        }
    }

    /** Missing backends first. */
    private void withdraw(int element, List<EndpointUpdate> updates) {
        if (element < missing.size()) {
            updates.add(directory.remove(missing.get(element)));
        } else {
            directory.apply(withdrawn.get(element - missing.size()), updates);
        }
    }

    /** For the log. */
    public String summary() {
        return "revision="
                + list.revision()
                + " complete="
                + list.complete()
                + " endpoints="
                + list.endpoints().size()
                + " unreadable="
                + list.unreadable().size()
                + " missing="
                + missing.size()
                + " withdrawn="
                + withdrawn.size()
                + " new_or_changed="
                + newOrChanged.size()
                + " updates="
                + updateCount
                + " slices="
                + sliceCount;
    }
}
