package lemondrift.lab.world;

/** What came of a day. Benefit counts once for what a client wants, however often it asks. */
public final class Figures {
    /** Benefit that clients wanted, and that was answered within the contract time. */
    public double wanted, served;
    /** Exchanges that proxies took, and how they ended; forwards made, probes sent. */
    public long taken, delivered, late, shed, scrapped, unanswered, forwards, probes;
    /** Cold backends that were pushed over and stayed down. */
    public long fallen;

    /** The share of benefit answered in time, 0 to 1. */
    public double service() {
        return wanted == 0 ? 1 : served / wanted;
    }

    @Override
    public String toString() {
        return String.format("service %.4f, taken %d, delivered %d, late %d, shed %d, scrapped %d, "
                + "unanswered %d, forwards %d, probes %d, fallen %d", service(), taken, delivered, late, shed,
                scrapped, unanswered, forwards, probes, fallen);
    }
}
