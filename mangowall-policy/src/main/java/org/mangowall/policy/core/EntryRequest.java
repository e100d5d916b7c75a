package org.mangowall.policy.core;

import java.util.Set;
import java.util.TreeSet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.RequestDescription;

/** State that the entry keeps for one request. */
final class EntryRequest {

    private final Set<RouterName> avoidedHomes = new TreeSet<>();
    private RequestDescription description;
    private RouterName home;
    private long homeIncarnation;
    private boolean answerBegan;
    private boolean refused;
    private int lostHomes;

    EntryRequest(RequestDescription description) {
        this.description = description;
    }

    RequestDescription description() {
        return description;
    }

    void setDescription(RequestDescription newDescription) {
        description = newDescription;
    }

    /** The home that holds the request; null while the request waits at the entry for one. */
    RouterName home() {
        return home;
    }

    void assignHome(RouterName newHome, long incarnation) {
        home = newHome;
        homeIncarnation = incarnation;
    }

    void clearHome() {
        home = null;
    }

    /** Whether the home of the request is the router in the given or an earlier incarnation. */
    boolean isAt(RouterName router, long incarnation) {
        return router.equals(home) && homeIncarnation <= incarnation;
    }

    Set<RouterName> avoidedHomes() {
        return avoidedHomes;
    }

    boolean hasAnswerBegun() {
        return answerBegan;
    }

    void markAnswerBegun() {
        answerBegan = true;
    }

    boolean isRefused() {
        return refused;
    }

    void markRefused() {
        refused = true;
    }

    int incrementLostHomes() {
        lostHomes++;
        return lostHomes;
    }
}
