package org.mangowall.standin.caller;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ServiceGapTest {

    @Test
    void gapIsMeasuredOverTheWorstInterval() {
        ServiceGap gap = new ServiceGap(2);
        gap.sample(new double[] {0, 0});
        gap.sample(new double[] {10, 4});
        gap.sample(new double[] {10, 13});
        gap.sample(new double[] {20, 20});
        assertEquals(9, gap.largest());
    }

    @Test
    void gapIsZeroWithoutSamples() {
        assertEquals(0, new ServiceGap(2).largest());
    }
}
