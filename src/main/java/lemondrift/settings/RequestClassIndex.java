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
            List<String> namesByPosition,
            List<RequestClass> classesByPosition,
            int[] indexByPlace,
            int size,
            List<Integer> reassigned) {
        this.indexByPosition = indexByPlace;
        this.reassigned = reassigned;
        String[] namesByIndex = new String[size];
        for (int position = 0; position < indexByPlace.length; position++) {
            namesByIndex[indexByPlace[position]] = namesByPosition.get(position);
        }
        names = Arrays.asList(namesByIndex);
        classesByIndex = classesByIndex(classesByPosition, size);
    }

    /**
     * The index after a reload, of classes in the order of the new file. An index whose class was
     * dropped in an earlier reload is assigned again if no request is open under it. Guards against
     * a request that still is on its way to the decisions under a class dropped just now.
     */
    public RequestClassIndex reloaded(
            List<String> namesByPosition,
            List<RequestClass> classesByPosition,
            IntPredicate isOpen) {
        int[] newIndexes =
                IntStream.range(0, namesByPosition.size())
                        .map(
                                position ->
                                        findKeptIndex(
                                                namesByPosition.get(position),
                                                classesByPosition.get(position)))
                        .toArray();
        List<Integer> newlyAssigned = new ArrayList<>();
        int size = names.size();
        for (int position = 0; position < newIndexes.length; position++) {
            if (newIndexes[position] == NO_INDEX) {
                int freeIndex = findFreeIndex(newlyAssigned, isOpen);
                newIndexes[position] = freeIndex == NO_INDEX ? size++ : freeIndex;
                newlyAssigned.add(newIndexes[position]);
            }
        }
        return new RequestClassIndex(
                namesByPosition, classesByPosition, newIndexes, size, newlyAssigned);
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
    public List<RequestClass> classesByIndex(List<RequestClass> classesByPosition) {
        return classesByIndex(classesByPosition, names.size());
    }

    private List<RequestClass> classesByIndex(List<RequestClass> classesByPosition, int size) {
        RequestClass[] classes = new RequestClass[size];
        for (int position = 0; position < indexByPosition.length; position++) {
            classes[indexByPosition[position]] = classesByPosition.get(position);
        }
        return Arrays.asList(classes);
    }

    /** The indexes whose class is another one than before the last reload. */
    public List<Integer> reassigned() {
        return reassigned;
    }
}
