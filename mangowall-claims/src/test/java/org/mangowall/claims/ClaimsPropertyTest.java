package org.mangowall.claims;

import java.util.EnumMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.mangowall.protocol.ClaimVerdict;

import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimsPropertyTest {

    private static final int SEEDS = 400;

    @Test
    void atMostOneRequestRunsPerKey() {
        Map<ClaimVerdict, Integer> verdicts = new EnumMap<>(ClaimVerdict.class);
        int runs = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            RandomizedClaimsSimulation claims = new RandomizedClaimsSimulation(seed);
            claims.run();
            long currentSeed = seed;
            claims.runs.forEach((key, requests) ->
                    assertTrue(requests.size() <= 1, "seed " + currentSeed + ": " + key + " ran for " + requests));
            claims.verdicts.forEach((verdict, count) -> verdicts.merge(verdict, count, Integer::sum));
            runs += claims.runs.size();
        }
        System.out.println(SEEDS + " seeds: " + runs + " keys ran, verdicts " + verdicts);
        assertTrue(runs > SEEDS, "requests must run in the simulation");
        for (ClaimVerdict verdict : ClaimVerdict.values()) {
            assertTrue(
                    verdict == ClaimVerdict.MISMATCH || verdicts.getOrDefault(verdict, 0) > 0,
                    "never seen: " + verdict);
        }
    }
}
