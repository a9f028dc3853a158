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
 * Parses a list in discovery's JSON form in steps, so that thousands of members hold up no other
 * thread.
 */
public final class EndpointListParser {
    private enum Position {
        BEFORE_LIST,
        IN_FIELDS,
        IN_MEMBERS,
        AFTER_LIST
    }

    private final JsonReader reader;
    private final EndpointListBuilder builder = new EndpointListBuilder();
    private Position position = Position.BEFORE_LIST;

    /** Null until it was read, as the next. */
    private Long revision;

    private Boolean complete;
    private boolean membersSeen;

    /** A parser of the body of one response, in UTF-8. */
    public EndpointListParser(byte[] body) {
        reader =
                new JsonReader(
                        new InputStreamReader(
                                new ByteArrayInputStream(body), StandardCharsets.UTF_8));
    }

    /**
     * Parses up to so many members more; returns whether the list has come to its end.
     *
     * @throws IOException or a runtime exception if the body is no list in discovery's form
     */
    public boolean advance(int maxMembers) throws IOException {
        if (position == Position.BEFORE_LIST) {
            reader.beginObject();
            position = Position.IN_FIELDS;
        }
        int membersLeft = maxMembers;
        while (membersLeft > 0 && position != Position.AFTER_LIST) {
            if (position == Position.IN_MEMBERS) {
                membersLeft--;
                parseMember();
            } else {
                parseField();
            }
        }
        return position == Position.AFTER_LIST;
    }

    private void parseMember() throws IOException {
        if (reader.hasNext()) {
            builder.add(JsonParser.parseReader(reader));
        } else {
            reader.endArray();
            position = Position.IN_FIELDS;
        }
    }

    private void parseField() throws IOException {
        if (!reader.hasNext()) {
            reader.endObject();
            require(reader.peek() == JsonToken.END_DOCUMENT, "more than a list");
            position = Position.AFTER_LIST;
            return;
        }
        switch (reader.nextName()) {
            case "revision" -> revision = reader.nextLong();
            case "complete" -> complete = reader.nextBoolean();
            case "members" -> {
                reader.beginArray();
                membersSeen = true;
                position = Position.IN_MEMBERS;
            }
            default -> reader.skipValue();
        }
    }

    /**
     * The list, once {@link #advance} has come to its end.
     *
     * @throws IOException if a field is missing. Guards against a revision that is taken from half
     *     a list
     */
    public EndpointList list() throws IOException {
        require(
                position == Position.AFTER_LIST
                        && membersSeen
                        && revision != null
                        && complete != null,
                "a list without its fields");
        return builder.build(revision, complete);
    }

    private static void require(boolean condition, String message) throws IOException {
        if (!condition) {
            throw new IOException(message);
        }
    }
}
