package lemondrift.proxy.discovery;

import java.util.ArrayList;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.events.EndpointList;

/**
 * Turns an endpoint list into updates for the balancer, in slices of bounded cost. First, it
 * compares all endpoints with the known state and skips unchanged ones. Then it withdraws backends
 * that drain or are gone, because requests must not reach them. Last, it adds new and changed
 * backends. Used only on the decision thread.
 */
public final class EndpointListUpdate {
    /** Maximum cost of a slice; comparing one endpoint costs 1. */
    private static final int MAX_SLICE_COST = 512;

    /** Cost of one update for the balancer, in the same unit. */
    private static final int UPDATE_COST = 8;

    /** The steps, in the order in which they run. */
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

    /** Indexes of the listed backends that are missing from a complete list. */
    private final List<Integer> missing = new ArrayList<>();

    /** Endpoints that drain or are gone. */
    private final List<EndpointList.Endpoint> withdrawn = new ArrayList<>();

    private final List<EndpointList.Endpoint> newOrChanged = new ArrayList<>();
    private Step step = Step.COMPARE_ENDPOINTS;

    /** The next element of the current step. */
    private int position;

    /** The number with which the directory marks the endpoints; set with the first slice. */
    private int listNumber;

    private int sliceCount;
    private int updateCount;

    /**
     * Creates an update; {@link #nextSlice} returns its first slice.
     *
     * @param knownBeforeStart whether the list was known before the proxy started
     * @param notifyApplied run by {@link #reportApplied}
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

    /** Returns whether the list was known before the proxy started. */
    public boolean isKnownBeforeStart() {
        return knownBeforeStart;
    }

    /**
     * Returns whether the list contains no changes, as in the response to a watch call that ended
     * without a change.
     */
    public boolean isEmpty() {
        return list.endpoints().isEmpty() && !list.complete();
    }

    /** Returns whether all slices have been taken. */
    public boolean isDone() {
        return step == Step.DONE;
    }

    /** Runs the callback that reports that the balancer has applied the whole list. */
    public void reportApplied() {
        notifyApplied.run();
    }

    /** Returns the unreadable members of the list, each with the reason. */
    public List<String> unreadable() {
        return list.unreadable();
    }

    /** Returns the next updates for the balancer; may be empty. */
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

    /** Processes one element, or proceeds to the next step; returns the cost. */
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

    /** Withdraws one backend; the missing backends come first. */
    private void withdraw(int element, List<EndpointUpdate> updates) {
        if (element < missing.size()) {
            updates.add(directory.remove(missing.get(element)));
        } else {
            directory.apply(withdrawn.get(element - missing.size()), updates);
        }
    }

    /** Returns the counts of the list and its updates, for the log. */
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
