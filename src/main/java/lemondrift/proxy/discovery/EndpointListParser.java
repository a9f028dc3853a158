package lemondrift.proxy.discovery;

import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import lemondrift.proxy.events.EndpointList;

/**
 * Reads a list of discovery from its bytes in steps, so that one of thousands of lines holds nobody
 * up.
 */
public final class EndpointListParser {
    private final JsonReader reader;
    private final EndpointListBuilder lines = new EndpointListBuilder();
    private Long revision;
    private Boolean complete;
    private boolean begun;
    private boolean inMembers;
    private boolean hadMembers;
    private boolean done;

    public EndpointListParser(byte[] bytes) {
        reader =
                new JsonReader(
                        new InputStreamReader(
                                new ByteArrayInputStream(bytes), StandardCharsets.UTF_8));
    }

    /**
     * Reads so many lines more at the most; whether that was the end.
     *
     * @throws IOException or a runtime exception where it is no list in discovery's form
     */
    public boolean advance(int most) throws IOException {
        if (!begun) {
            reader.beginObject();
            begun = true;
        }
        int left = most;
        while (left > 0 && !done) {
            if (inMembers) {
                left--;
                member();
            } else {
                field();
            }
        }
        return done;
    }

    private void member() throws IOException {
        if (reader.hasNext()) {
            lines.add(JsonParser.parseReader(reader));
        } else {
            reader.endArray();
            inMembers = false;
        }
    }

    private void field() throws IOException {
        if (!reader.hasNext()) {
            reader.endObject();
            require(reader.peek() == JsonToken.END_DOCUMENT, "more than a list");
            done = true;
            return;
        }
        switch (reader.nextName()) {
            case "revision" -> revision = reader.nextLong();
            case "complete" -> complete = reader.nextBoolean();
            case "members" -> {
                reader.beginArray();
                inMembers = hadMembers = true;
            }
            default -> reader.skipValue();
        }
    }

    /** What was read, once it has come to the end. */
    public EndpointList list() throws IOException {
        // Danger: a revision taken from half a list would never be asked for again.
        require(
                done && hadMembers && revision != null && complete != null,
                "a list without its fields");
        return lines.build(revision, complete);
    }

    private static void require(boolean holds, String otherwise) throws IOException {
        if (!holds) {
            throw new IOException(otherwise);
        }
    }
}
