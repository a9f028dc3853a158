package lemondrift.hotrestart;

/**
 * How many processes of one proxy share what the platform gives it: during an upgrade there are
 * two, and the platform counts them as one. Not thread-safe.
 */
public final class ResourceSplit {
    /** What this process is beside others of the same proxy. */
    public enum State {
        /** It serves, and no other process waits to follow it. */
        ALONE,
        /** It serves, and another process waits to follow it. */
        FOLLOWED,
        /** Another one serves, or it is not known whether one does. */
        BESIDE
    }

    private State state = State.BESIDE;

    /**
     * Follows what was seen of the processes.
     *
     * @param serving whether this process is the one that serves
     * @param followerWaits whether another one waits to follow it; matters only if this one serves
     * @return whether the state has changed
     */
    public boolean update(boolean serving, boolean followerWaits) {
        State before = state;
        if (!serving) {
            state = State.BESIDE;
        } else {
            state = followerWaits ? State.FOLLOWED : State.ALONE;
        }
        return state != before;
    }

    public State state() {
        return state;
    }

    /**
     * Among how many processes the resources are divided, 1 or 2. Guards against two processes that
     * each use all: only one that is known to be alone does.
     */
    public int processCount() {
        return state == State.ALONE ? 1 : 2;
    }
}
