package org.mangowall.edge.mirror;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StoredObject;

import static org.junit.jupiter.api.Assertions.assertEquals;

class StoreMirrorTest {

    private final List<String> heard = new ArrayList<>();
    private final StoreMirror mirror = new StoreMirror(
            object -> heard.add(object.name() + "@" + object.revision() + (object.isDeleted() ? " gone" : "")));

    private static StoredObject object(String name, long revision, boolean isDeleted) {
        return new StoredObject(ObjectKind.RUNNER, name, revision, new byte[0], isDeleted);
    }

    @Test
    void anOlderStateNeverComesBackWhoeverTellsIt() {
        mirror.change(ObjectKind.RUNNER, List.of(object("r", 5, false)), 5);
        mirror.change(ObjectKind.RUNNER, List.of(object("r", 4, false)), 4);
        mirror.change(ObjectKind.RUNNER, List.of(object("r", 5, false)), 5);
        assertEquals(List.of("r@5"), heard);
        assertEquals(5, mirror.completeTo(ObjectKind.RUNNER));
    }

    @Test
    void aDeletedObjectIsNotRevivedByLateNews() {
        mirror.change(ObjectKind.RUNNER, List.of(object("r", 5, false)), 5);
        mirror.change(ObjectKind.RUNNER, List.of(object("r", 9, true)), 9);
        mirror.change(ObjectKind.RUNNER, List.of(object("r", 7, false)), 7);
        assertEquals(List.of("r@5", "r@9 gone"), heard);
    }

    @Test
    void whatACompleteListLacksIsGone() {
        mirror.change(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), 6);
        mirror.replace(ObjectKind.RUNNER, List.of(object("b", 6, false)), 8);
        assertEquals(List.of("a@5", "b@6", "a@8 gone"), heard);
    }

    /** A list that began before an object was written doesn't remove it. */
    @Test
    void anObjectNewerThanAListStays() {
        mirror.change(ObjectKind.RUNNER, List.of(object("a", 9, false)), 9);
        mirror.replace(ObjectKind.RUNNER, List.of(), 8);
        assertEquals(List.of("a@9"), heard);
    }

    @Test
    void anotherHostIsToldWhatItLacksDeletionsToo() {
        mirror.change(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), 6);
        mirror.change(ObjectKind.RUNNER, List.of(object("a", 7, true)), 7);
        assertEquals(
                List.of(object("a", 7, true).name()),
                mirror.changedAfter(ObjectKind.RUNNER, 6).stream()
                        .map(StoredObject::name)
                        .toList());
    }
}
