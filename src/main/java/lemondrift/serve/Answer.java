package lemondrift.serve;

import io.undertow.util.HeaderMap;

/** What came back on a call; status 0 where the connection failed before the answer was whole. */
record Answer(int status, HeaderMap headers, byte[] body, boolean sent, boolean timedOut) {
    static final int OK = 200;

    static Answer broken(boolean sent, boolean timedOut) {
        return new Answer(0, new HeaderMap(), new byte[0], sent, timedOut);
    }
}
