package lemondrift.buffer;

/**
 * How much of request bodies is held in memory. Held whole, a request can be sent again, and a slow
 * client keeps no backend waiting; what can't be held is passed on as it comes. No I/O.
 */
public final class BodyBufferBudget {
    private final int each;
    private long all;
    private long held;

    /** So many bytes of one body at the most, and so many of all; both 0 or more. */
    public BodyBufferBudget(int each, long all) {
        if (each < 0 || all < 0) {
            throw new IllegalArgumentException("bounds of what is held, below zero");
        }
        this.each = each;
        this.all = all;
    }

    /** So many bytes of all from now on; what is held already may be more for a while. */
    public void all(long most) {
        all = most;
    }

    /**
     * Whether more of one that has so many held may be held; if so it counts until it is let go.
     */
    public boolean takes(int has, int more) {
        if (more > each - has || more > all - held) {
            return false;
        }
        held += more;
        return true;
    }

    /** So many bytes are held no longer. */
    public void letGo(int bytes) {
        held -= bytes;
    }

    public long held() {
        return held;
    }
}
