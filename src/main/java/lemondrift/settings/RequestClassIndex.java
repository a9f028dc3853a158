package lemondrift.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * Under which index each named service grade stands. It keeps it over retunes as long as it is
 * named with the same effect, so that what is learnt of one is never held against another.
 */
public final class RequestClassIndex {
    /** By index; null where one stands for none any more. */
    private final List<String> names;

    private final List<RequestClass> byIndex;

    /**
     * The index of each in the order of the file, and the indexes that stand for another one than
     * before.
     */
    private final int[] index;

    private final List<Integer> reassigned = new ArrayList<>();

    /** The first ones, in the order of the file. */
    public RequestClassIndex(List<String> names, List<RequestClass> requestClasses) {
        this(names, requestClasses, IntStream.range(0, names.size()).toArray(), names.size());
    }

    private RequestClassIndex(
            List<String> stated, List<RequestClass> requestClasses, int[] index, int size) {
        this.index = index;
        String[] named = new String[size];
        for (int at = 0; at < index.length; at++) {
            named[index[at]] = stated.get(at);
        }
        names = Arrays.asList(named);
        byIndex = byIndex(requestClasses, size);
    }

    /**
     * The next ones. An index that was dropped before is given out again if nothing is open under
     * it. Danger: one dropped just now may still be on its way to the decisions with an exchange.
     */
    public RequestClassIndex reloaded(
            List<String> stated, List<RequestClass> requestClasses, IntPredicate isOpen) {
        int[] next =
                IntStream.range(0, stated.size())
                        .map(at -> kept(stated.get(at), requestClasses.get(at)))
                        .toArray();
        List<Integer> fresh = new ArrayList<>();
        int size = names.size();
        for (int at = 0; at < next.length; at++) {
            if (next[at] < 0) {
                next[at] =
                        IntStream.range(0, names.size())
                                .filter(
                                        i ->
                                                names.get(i) == null
                                                        && !fresh.contains(i)
                                                        && !isOpen.test(i))
                                .findFirst()
                                .orElse(-1);
                next[at] = next[at] < 0 ? size++ : next[at];
                fresh.add(next[at]);
            }
        }
        RequestClassIndex grown = new RequestClassIndex(stated, requestClasses, next, size);
        grown.reassigned.addAll(fresh);
        return grown;
    }

    private int kept(String name, RequestClass requestClass) {
        RequestClass old = indexOf(name) < 0 ? null : byIndex.get(indexOf(name));
        boolean same =
                old != null
                        && old.idempotency() == requestClass.idempotency()
                        && old.deduplicationScope() == requestClass.deduplicationScope();
        return same ? indexOf(name) : -1;
    }

    /** Those that are named now. */
    public List<String> names() {
        return names.stream().filter(Objects::nonNull).toList();
    }

    /** -1 where none is named so. */
    public int indexOf(String name) {
        return names.indexOf(name);
    }

    public List<RequestClass> byIndex() {
        return byIndex;
    }

    /** Others that are stated for the same names in the same order, each under its index. */
    public List<RequestClass> byIndex(List<RequestClass> stated) {
        return byIndex(stated, names.size());
    }

    private List<RequestClass> byIndex(List<RequestClass> stated, int size) {
        RequestClass[] all = new RequestClass[size];
        for (int at = 0; at < index.length; at++) {
            all[index[at]] = stated.get(at);
        }
        return Arrays.asList(all);
    }

    /** The indexes that stand for another one than before. */
    public List<Integer> reassigned() {
        return reassigned;
    }
}
