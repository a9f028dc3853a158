package lemondrift.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * The index under which each named request class stands. A class keeps its index over reloads as
 * long as it is named with the same idempotency and deduplication scope, so that what is learnt of
 * one class never counts for another. Immutable; any thread.
 */
public final class RequestClassIndex {
    /** Stands for no index. */
    private static final int NO_INDEX = -1;

    /** By index; null where no class has the index any more. */
    private final List<String> names;

    /** By index; null where no class has the index any more. */
    private final List<RequestClass> classesByIndex;

    /** The index of each class in the order of the file. */
    private final int[] indexByPosition;

    /** The indexes whose class is another one than before. */
    private final List<Integer> reassigned;

    /** The first classes; their indexes are their places in the file. */
    public RequestClassIndex(List<String> names, List<RequestClass> requestClasses) {
        this(
                names,
                requestClasses,
                IntStream.range(0, names.size()).toArray(),
                names.size(),
                new ArrayList<>());
    }

    private RequestClassIndex(
            List<String> namesByPlace,
            List<RequestClass> classesByPlace,
            int[] indexByPlace,
            int size,
            List<Integer> reassigned) {
        this.indexByPosition = indexByPlace;
        this.reassigned = reassigned;
        String[] namesByIndex = new String[size];
        for (int place = 0; place < indexByPlace.length; place++) {
            namesByIndex[indexByPlace[place]] = namesByPlace.get(place);
        }
        names = Arrays.asList(namesByIndex);
        classesByIndex = classesByIndex(classesByPlace, size);
    }

    /**
     * The index after a reload, of classes in the order of the new file. An index whose class was
     * dropped in an earlier reload is assigned again if no request is open under it. Guards against
     * a request that still is on its way to the decisions under a class dropped just now.
     */
    public RequestClassIndex reloaded(
            List<String> namesByPlace, List<RequestClass> classesByPlace, IntPredicate isOpen) {
        int[] nextIndexes =
                IntStream.range(0, namesByPlace.size())
                        .map(
                                place ->
                                        findKeptIndex(
                                                namesByPlace.get(place), classesByPlace.get(place)))
                        .toArray();
        List<Integer> newlyAssigned = new ArrayList<>();
        int size = names.size();
        for (int place = 0; place < nextIndexes.length; place++) {
            if (nextIndexes[place] == NO_INDEX) {
                int free = findFreeIndex(newlyAssigned, isOpen);
                nextIndexes[place] = free == NO_INDEX ? size++ : free;
                newlyAssigned.add(nextIndexes[place]);
            }
        }
        return new RequestClassIndex(
                namesByPlace, classesByPlace, nextIndexes, size, newlyAssigned);
    }

    /** The index that a class keeps; NONE where it is new or not the same any more. */
    private int findKeptIndex(String name, RequestClass requestClass) {
        int index = indexOf(name);
        RequestClass previous = index == NO_INDEX ? null : classesByIndex.get(index);
        boolean isSame =
                previous != null
                        && previous.idempotency() == requestClass.idempotency()
                        && previous.deduplicationScope() == requestClass.deduplicationScope();
        return isSame ? index : NO_INDEX;
    }

    private int findFreeIndex(List<Integer> newlyAssigned, IntPredicate isOpen) {
        return IntStream.range(0, names.size())
                .filter(
                        index ->
                                names.get(index) == null
                                        && !newlyAssigned.contains(index)
                                        && !isOpen.test(index))
                .findFirst()
                .orElse(NO_INDEX);
    }

    /** The names that are in use now. */
    public List<String> names() {
        return names.stream().filter(Objects::nonNull).toList();
    }

    /** The index of a name; -1 where no class has it. */
    public int indexOf(String name) {
        return names.indexOf(name);
    }

    /** The classes by index; null where no class has the index any more. */
    public List<RequestClass> classesByIndex() {
        return classesByIndex;
    }

    /** Other classes of the same names in the same order, each under its index. */
    public List<RequestClass> classesByIndex(List<RequestClass> classesByPlace) {
        return classesByIndex(classesByPlace, names.size());
    }

    private List<RequestClass> classesByIndex(List<RequestClass> classesByPlace, int size) {
        RequestClass[] classes = new RequestClass[size];
        for (int place = 0; place < indexByPosition.length; place++) {
            classes[indexByPosition[place]] = classesByPlace.get(place);
        }
        return Arrays.asList(classes);
    }

    /** The indexes whose class is another one than before the last reload. */
    public List<Integer> reassigned() {
        return reassigned;
    }
}
