package org.mangowall.edge.mirror;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;

import static org.junit.jupiter.api.Assertions.assertEquals;

class StoreMirrorTest {

    private final List<String> notified = new ArrayList<>();
    private final StoreMirror mirror = new StoreMirror(
            object -> notified.add(object.name() + "@" + object.revision() + (object.isDeleted() ? " gone" : "")));

    private static StoredObject object(String name, long revision, boolean isDeleted) {
        return new StoredObject(ObjectKind.RUNNER, name, revision, new byte[0], isDeleted);
    }

    @Test
    void anOlderRevisionIsIgnored() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 5, false)), 5);
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 4, false)), 4);
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 5, false)), 5);
        assertEquals(List.of("r@5"), notified);
        assertEquals(5, mirror.completeTo(ObjectKind.RUNNER));
    }

    @Test
    void aDeletedObjectIsNotRestoredByALateUpdate() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 5, false)), 5);
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 9, true)), 9);
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 7, false)), 7);
        assertEquals(List.of("r@5", "r@9 gone"), notified);
    }

    @Test
    void objectsMissingFromACompleteListAreDeleted() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), 6);
        mirror.applyList(ObjectKind.RUNNER, List.of(object("b", 6, false)), 8);
        assertEquals(List.of("a@5", "b@6", "a@8 gone"), notified);
    }

    /** A list that is older than an object must not remove it. */
    @Test
    void anObjectNewerThanAListStays() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 9, false)), 9);
        mirror.applyList(ObjectKind.RUNNER, List.of(), 8);
        assertEquals(List.of("a@9"), notified);
    }

    @Test
    void changesAfterARevisionIncludeDeletions() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), 6);
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 7, true)), 7);
        assertEquals(
                List.of(object("a", 7, true).name()),
                mirror.changedAfter(ObjectKind.RUNNER, 6).stream()
                        .map(StoredObject::name)
                        .toList());
    }
}
