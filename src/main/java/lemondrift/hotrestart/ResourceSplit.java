package lemondrift.hotrestart;

/**
 * Determines among how many processes of one proxy its resources are divided. During an upgrade
 * there are two processes, which the platform counts as one. Not thread-safe.
 */
public final class ResourceSplit {
    /** The role of this process among the processes of the same proxy. */
    public enum State {
        /** It serves, and no other process waits to take over. */
        ALONE,
        /** It serves, and another process waits to take over. */
        FOLLOWED,
        /** Another process serves, or it is not known whether one does. */
        BESIDE
    }

    private State state = State.BESIDE;

    /**
     * Updates the state from an observation of the processes.
     *
     * @param serving whether this process serves
     * @param followerWaits whether another process waits to take over; ignored unless this process
     *     serves
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
     * Returns among how many processes the resources are divided, 1 or 2. Guards against two
     * processes that each use all resources: only a process that is known to be alone uses all of
     * them.
     */
    public int processCount() {
        return state == State.ALONE ? 1 : 2;
    }
}
