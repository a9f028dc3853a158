package lemondrift.lab.world;

import java.util.PriorityQueue;

/** What is to happen and when, in virtual seconds; at the same time things happen in the order asked for. */
final class Agenda {
    /** Something to be done, unless it is struck off before. */
    static final class Entry implements Comparable<Entry> {
        private final double at;
        private final long order;
        private Runnable what;

        private Entry(double at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        void strike() {
            what = null;
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long asked;
    private double now;

    double now() {
        return now;
    }

    Entry at(double time, Runnable what) {
        Entry entry = new Entry(Math.max(now, time), ++asked, what);
        entries.add(entry);
        return entry;
    }

    Entry in(double seconds, Runnable what) {
        return at(now + seconds, what);
    }

    /** Has all happen that is due until a time. */
    void runUntil(double end) {
        while (!entries.isEmpty() && entries.peek().at <= end) {
            Entry entry = entries.poll();
            now = entry.at;
            if (entry.what != null) {
                entry.what.run();
            }
        }
        now = end;
    }
}
