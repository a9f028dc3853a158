package lemondrift.model;

/** What holds for an exchange from its arrival to its end, whatever is stated later. */
public record RequestTerms(RequestClass grade, int forwards) {
    /** The same with so much time, where its request takes that long to come. */
    public RequestTerms within(double seconds) {
        return new RequestTerms(new RequestClass(grade.benefit(), grade.lateBenefit(), seconds, seconds,
                grade.effect(), grade.group(), grade.receiptMemory()), forwards);
    }

    /** The same with no more forwards than these, where its request can't be sent whole any more. */
    public RequestTerms upTo(int most) {
        return new RequestTerms(grade, Math.min(forwards, most));
    }
}
