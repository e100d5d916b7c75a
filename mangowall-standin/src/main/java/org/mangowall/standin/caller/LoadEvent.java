package org.mangowall.standin.caller;

/** Events handled by the load generator's thread. */
sealed interface LoadEvent {

    /** An attempt of a call ended. */
    record AttemptEnded(AttemptResult result) implements LoadEvent {}

    /** The measurement starts: results count from now on. */
    record MeasurementStarted() implements LoadEvent {}

    /** The load stops: no call starts and no result is measured from now on. */
    record LoadStopped() implements LoadEvent {}
}
