package org.mangowall.edge.model;

/**
 * What a runner states of its load in a response.
 *
 * @param running the number of requests that it runs
 * @param waiting the number of requests that wait there
 * @param slots how many requests it runs at once
 * @param pace how long work takes on its machine at the moment, relative to the usual time
 */
public record StatedLoad(int running, int waiting, int slots, double pace) {

    private static final double MIN_PACE = 0.1;
    private static final double MAX_PACE = 100;
    /** More requests per slot than any runner accepts. */
    private static final int MAX_REQUESTS_PER_SLOT = 100;

    /** Whether a runner can be in this state; a statement that isn't plausible is ignored. */
    public boolean isPlausible() {
        return running >= 0
                && waiting >= 0
                && slots > 0
                && (long) running + waiting <= (long) slots * MAX_REQUESTS_PER_SLOT
                && pace >= MIN_PACE
                && pace <= MAX_PACE;
    }
}
