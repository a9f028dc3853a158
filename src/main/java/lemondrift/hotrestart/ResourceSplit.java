package lemondrift.hotrestart;

/**
 * Which part of what the platform gives a proxy one of its processes may use. During an upgrade
 * there are two of them, and the platform counts them as one. No I/O.
 */
public final class ResourceSplit {
    /** What this process is beside others of the same proxy. */
    public enum State {
        /** It serves, and nobody is to follow it. */
        ALONE,
        /** It serves, and one that is to follow it runs. */
        FOLLOWED,
        /** Another one serves still; or it is not known whether one does. */
        BESIDE
    }

    private State state = State.BESIDE;

    /**
     * A look has shown whether this process is the one that serves, and whether one waits to follow
     * it; says whether that changes anything. One whose predecessor has ended serves; one whose
     * successor has ended is alone again.
     */
    public boolean looked(boolean serves, boolean waits) {
        State before = state;
        state = !serves ? State.BESIDE : waits ? State.FOLLOWED : State.ALONE;
        return state != before;
    }

    public State state() {
        return state;
    }

    /**
     * Among how many processes all is shared. Danger: one that takes all at once would do so twice.
     */
    public int processes() {
        return state == State.ALONE ? 1 : 2;
    }
}
