package org.mangowall.policy.core;

import java.util.Set;
import java.util.TreeSet;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.RequestDescription;

/** A request in the table of its entry. */
final class EntryRequest {

    private final Set<RouterName> avoided = new TreeSet<>();
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

    void describe(RequestDescription newDescription) {
        description = newDescription;
    }

    /** The home that has it; null while it waits here for one. */
    RouterName home() {
        return home;
    }

    void moveTo(RouterName newHome, long incarnation) {
        home = newHome;
        homeIncarnation = incarnation;
    }

    void leaveHome() {
        home = null;
    }

    /** Whether the request is at a router, in that or an earlier incarnation. */
    boolean isAt(RouterName router, long incarnation) {
        return router.equals(home) && homeIncarnation <= incarnation;
    }

    Set<RouterName> avoided() {
        return avoided;
    }

    boolean answerBegan() {
        return answerBegan;
    }

    void beginAnswer() {
        answerBegan = true;
    }

    boolean isRefused() {
        return refused;
    }

    void refuse() {
        refused = true;
    }

    int countLostHome() {
        lostHomes++;
        return lostHomes;
    }
}
