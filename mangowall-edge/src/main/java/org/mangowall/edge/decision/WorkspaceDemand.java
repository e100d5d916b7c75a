package org.mangowall.edge.decision;

/**
 * What a workspace asked of the fleet in the window over which usage is compared.
 *
 * @param workspace the workspace
 * @param usedTokens engine time of the requests that run or wait at runners, in tokens
 * @param turnedAwayTokens engine time of the requests that were refused, in tokens
 */
public record WorkspaceDemand(String workspace, double usedTokens, double turnedAwayTokens) {

    double askedTokens() {
        return usedTokens + turnedAwayTokens;
    }
}
