package lemondrift.proxy.discovery;

import java.util.ArrayList;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.events.EndpointList;

/**
 * One list on its way to the decisions, in slices, so that answers never wait for the whole of it.
 * Whoever drains or has gone comes first, then who is new or has changed; what says nothing new
 * costs a look. Owner's thread only.
 */
public final class EndpointListUpdate {
    /**
     * What one slice may cost; a look at a line costs 1, and a line that says something new LINE.
     */
    private static final int SLICE = 512;

    private static final int LINE = 8;

    private enum Step {
        LOOK_AT_LINES,
        LOOK_FOR_ABSENT,
        WITHDRAW,
        ADD,
        DONE
    }

    private final BackendDirectory directory;
    private final EndpointList list;
    private final boolean stale;
    private final Runnable notifyApplied;
    private final List<EndpointList.Member> withdrawn = new ArrayList<>();
    private final List<EndpointList.Member> added = new ArrayList<>();
    private final List<Integer> absent = new ArrayList<>();
    private Step step = Step.LOOK_AT_LINES;

    /** Its number, once its turn has come. */
    private int number;

    private int at;
    private int slices;
    private int lines;

    /** Stale is a list of before the start; applied is told when the decisions have all of it. */
    public EndpointListUpdate(
            BackendDirectory directory, EndpointList list, boolean stale, Runnable applied) {
        this.directory = directory;
        this.list = list;
        this.stale = stale;
        this.notifyApplied = applied;
    }

    public boolean isStale() {
        return stale;
    }

    /** Whether it says nothing at all, as a watch does that nothing came of. */
    public boolean isEmpty() {
        return list.members().isEmpty() && !list.complete();
    }

    public boolean isDone() {
        return step == Step.DONE;
    }

    public void notifyApplied() {
        notifyApplied.run();
    }

    /** The next lines for the decisions, perhaps none. */
    public List<EndpointUpdate> nextSlice() {
        List<EndpointUpdate> told = new ArrayList<>();
        number = slices++ == 0 ? directory.nextList() : number;
        for (int left = SLICE; left > 0 && step != Step.DONE; ) {
            left -= advance(told);
        }
        lines += told.size();
        return told;
    }

    /** Takes one step and returns its cost. */
    private int advance(List<EndpointUpdate> told) {
        if (at >= end()) {
            step = Step.values()[step.ordinal() + 1];
            at = 0;
            return 0;
        }
        int next = at++;
        switch (step) {
            case LOOK_AT_LINES -> lookAt(list.members().get(next));
            case LOOK_FOR_ABSENT -> {
                if (directory.isAbsent(number, next)) {
                    absent.add(next);
                }
            }
            case WITHDRAW -> withdraw(next, told);
            default -> directory.follow(added.get(next), told);
        }
        return step == Step.WITHDRAW || step == Step.ADD ? LINE : 1;
    }

    private int end() {
        return switch (step) {
            case LOOK_AT_LINES -> list.members().size();
            case LOOK_FOR_ABSENT -> list.complete() ? directory.size() : 0;
            case WITHDRAW -> absent.size() + withdrawn.size();
            case ADD -> added.size();
            case DONE -> Integer.MAX_VALUE;
        };
    }

    private void lookAt(EndpointList.Member member) {
        if (directory.names(number, member)) {
            (member.state() == EndpointUpdate.State.READY ? added : withdrawn).add(member);
        }
    }

    private void withdraw(int place, List<EndpointUpdate> told) {
        if (place < absent.size()) {
            told.add(directory.withdrawn(absent.get(place)));
        } else {
            directory.follow(withdrawn.get(place - absent.size()), told);
        }
    }

    /** For the log. */
    public String summary() {
        return "revision="
                + list.revision()
                + " whole="
                + list.complete()
                + " lines="
                + list.members().size()
                + " unreadable="
                + list.unreadable().size()
                + " absent="
                + absent.size()
                + " withdrawn="
                + withdrawn.size()
                + " new_or_changed="
                + added.size()
                + " told="
                + lines
                + " slices="
                + slices;
    }

    public List<String> unreadable() {
        return list.unreadable();
    }
}
