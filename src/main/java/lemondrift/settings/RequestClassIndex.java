package lemondrift.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * Assigns an index to each named request class. A class keeps its index across reloads as long as
 * it is named with the same idempotency and deduplication scope, so that statistics of one class
 * never count for another. Immutable; may be used by any thread.
 */
public final class RequestClassIndex {
    /** Stands for no index. */
    private static final int NO_INDEX = -1;

    /** By index; null if no class has the index any more. */
    private final List<String> names;

    /** By index; null if no class has the index any more. */
    private final List<RequestClass> classesByIndex;

    /** By position in the file: the index of the class. */
    private final int[] indexByPosition;

    /** The indexes that stand for another class than before the last reload. */
    private final List<Integer> reassigned;

    /** Creates the index of the first classes. The index of a class is its position in the file. */
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
            int[] indexByPosition,
            int size,
            List<Integer> reassigned) {
        this.indexByPosition = indexByPosition;
        this.reassigned = reassigned;
        String[] namesByIndex = new String[size];
        for (int position = 0; position < indexByPosition.length; position++) {
            namesByIndex[indexByPosition[position]] = namesByPosition.get(position);
        }
        names = Arrays.asList(namesByIndex);
        classesByIndex = classesByIndex(classesByPosition, size);
    }

    /**
     * Returns the index after a reload. An index whose class was dropped in an earlier reload is
     * assigned again if no request is open under it. An index whose class is dropped in this reload
     * is not: guards against a request that is still on its way to the balancer under that class.
     *
     * @param namesByPosition the names of the classes in the order of the new file
     * @param classesByPosition the classes in the order of the new file
     * @param isOpen whether a request is open under an index
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

    /**
     * Returns the index that a class keeps; {@link #NO_INDEX} if the class is new or no longer the
     * same.
     */
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

    /** Returns the names that are in use now. */
    public List<String> names() {
        return names.stream().filter(Objects::nonNull).toList();
    }

    /** Returns the index of a name; -1 if no class has it. */
    public int indexOf(String name) {
        return names.indexOf(name);
    }

    /** Returns the classes by index; null at an index that no class has any more. */
    public List<RequestClass> classesByIndex() {
        return classesByIndex;
    }

    /** Returns other classes with the same names in the same order, each at its index. */
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

    /** Returns the indexes that stand for another class than before the last reload. */
    public List<Integer> reassigned() {
        return reassigned;
    }
}
