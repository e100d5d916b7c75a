package org.mangowall.standin.caller;

/** What the load's duty is told. */
sealed interface LoadEvent {

    /** A try of a call ended. */
    record CallEnded(CallEnd end) implements LoadEvent {}

    /** From now on ends are counted. */
    record MeasurementBegins() implements LoadEvent {}

    /** From now on no call begins and no end is counted among the latencies. */
    record LoadStops() implements LoadEvent {}
}
