package org.mangowall.edge.mirror;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;
import org.mangowall.edge.wire.StoredObject;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreMirrorTest {

    private final List<String> notified = new ArrayList<>();
    private final List<String> eras = new ArrayList<>();
    private final StoreMirror mirror = mirror(notified);

    private StoreMirror mirror(List<String> notifications) {
        return new StoreMirror(
                object -> notifications.add(
                        object.name() + "@" + object.position().revision() + (object.isDeleted() ? " gone" : "")),
                (previous, current) -> eras.add(previous.era() + " to " + current.era()));
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    private static StorePosition restored(long revision) {
        return new StorePosition(2, revision);
    }

    private static StoredObject object(String name, long revision, boolean isDeleted) {
        return new StoredObject(ObjectKind.RUNNER, name, at(revision), new byte[0], isDeleted);
    }

    private static StoredObject restoredObject(String name, long revision, String content) {
        return new StoredObject(
                ObjectKind.RUNNER, name, restored(revision), content.getBytes(StandardCharsets.UTF_8), false);
    }

    @Test
    void anOlderRevisionIsIgnored() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 5, false)), at(5));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 4, false)), at(4));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 5, false)), at(5));
        assertEquals(List.of("r@5"), notified);
        assertEquals(at(5), mirror.completeTo(ObjectKind.RUNNER));
    }

    @Test
    void aDeletedObjectIsNotRestoredByALateUpdate() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 5, false)), at(5));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 9, true)), at(9));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 7, false)), at(7));
        assertEquals(List.of("r@5", "r@9 gone"), notified);
    }

    @Test
    void objectsMissingFromACompleteListAreDeleted() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), at(6));
        mirror.applyList(ObjectKind.RUNNER, List.of(object("b", 6, false)), at(8));
        assertEquals(List.of("a@5", "b@6", "a@8 gone"), notified);
    }

    /** A list that is older than an object must not remove it. */
    @Test
    void anObjectNewerThanAListStays() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 9, false)), at(9));
        mirror.applyList(ObjectKind.RUNNER, List.of(), at(8));
        assertEquals(List.of("a@9"), notified);
    }

    @Test
    void changesAfterARevisionIncludeDeletions() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), at(6));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 7, true)), at(7));
        assertEquals(
                List.of(object("a", 7, true).name()),
                mirror.changedAfter(ObjectKind.RUNNER, at(6)).stream()
                        .map(StoredObject::name)
                        .toList());
    }

    /** A restored store gives out revisions again; a lower one of a later era is newer. */
    @Test
    void anObjectOfALaterEraReplacesOneWithAHigherRevision() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 50, false)), at(50));
        mirror.applyList(ObjectKind.RUNNER, List.of(restoredObject("r", 31, "new")), restored(31));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(restoredObject("r", 32, "newer")), restored(32));
        assertEquals(List.of("r@50", "r@31", "r@32"), notified);
        assertEquals(restored(32), mirror.completeTo(ObjectKind.RUNNER));
    }

    @Test
    void anObjectThatARestoreLostIsDeleted() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 50, false)), at(50));
        mirror.applyList(ObjectKind.RUNNER, List.of(), restored(30));
        assertEquals(List.of("r@50", "r@30 gone"), notified);
    }

    /** Listeners restart what depends on an object, which is no use if only its position is another. */
    @Test
    void anObjectThatIsTheSameAfterARestoreIsNotAnnounced() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("r", 20, false)), at(50));
        mirror.applyList(ObjectKind.RUNNER, List.of(restoredObject("r", 20, "")), restored(30));
        assertEquals(List.of("r@20"), notified);
        assertEquals(1, mirror.changedAfter(ObjectKind.RUNNER, at(50)).size());
    }

    /** Hosts notice a restore at different moments; what the later ones send belongs to the era before. */
    @Test
    void lateChangesOfTheEraBeforeAreIgnored() {
        mirror.applyList(ObjectKind.RUNNER, List.of(restoredObject("r", 30, "new")), restored(30));
        mirror.applyChangesAfter(ObjectKind.RUNNER, at(50), List.of(object("r", 60, false)), at(60));
        mirror.applyList(ObjectKind.RUNNER, List.of(object("other", 70, false)), at(70));
        assertEquals(restored(30), mirror.completeTo(ObjectKind.RUNNER));
        assertEquals("r@30", notified.getFirst());
        assertFalse(notified.contains("r@60"));
        assertFalse(notified.contains("r@70 gone"));
    }

    /** A host learns of a restore from another one, which never knew an object that the restore lost. */
    @Test
    void changesOfALaterEraFromAnotherHostReplaceAllObjects() {
        mirror.applyList(ObjectKind.RUNNER, List.of(object("a", 10, false), object("lost", 50, false)), at(50));
        List<String> ofOther = new ArrayList<>();
        StoreMirror other = mirror(ofOther);
        other.applyList(ObjectKind.RUNNER, List.of(object("a", 10, false)), at(40));
        other.applyList(ObjectKind.RUNNER, List.of(restoredObject("a", 10, "")), restored(30));
        StorePosition after = mirror.completeTo(ObjectKind.RUNNER);

        mirror.applyChangesAfter(
                ObjectKind.RUNNER,
                after,
                other.changedAfter(ObjectKind.RUNNER, after),
                other.completeTo(ObjectKind.RUNNER));

        assertEquals(List.of("a@10", "lost@50", "lost@30 gone"), notified);
        assertEquals(restored(30), mirror.completeTo(ObjectKind.RUNNER));
    }

    /** The sender knew the host before its restart; its changes alone would look complete. */
    @Test
    void changesAfterAnUnknownPositionAreIgnored() {
        mirror.applyChangesAfter(ObjectKind.RUNNER, at(5), List.of(object("b", 6, false)), at(6));
        assertEquals(StorePosition.START, mirror.completeTo(ObjectKind.RUNNER));
        assertEquals(List.of(), notified);
    }

    /** The object was deleted before the list, so this host never knew it. */
    @Test
    void anOlderListOfAnotherHostDoesNotRestoreADeletedObject() {
        mirror.applyList(ObjectKind.RUNNER, List.of(object("b", 4, false)), at(15));
        mirror.applyChangesAfter(
                ObjectKind.RUNNER,
                StorePosition.START,
                List.of(object("a", 5, false), object("b", 4, false), object("c", 16, false)),
                at(10));
        assertEquals(List.of("b@4", "c@16"), notified);
    }

    @Test
    void deletionsBeforeAListAreNotKnown() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 5, false)), at(5));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("a", 7, true)), at(8));
        assertTrue(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(5)));
        mirror.applyList(ObjectKind.RUNNER, List.of(), at(20));
        assertFalse(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(19)));
        assertTrue(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(20)));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("b", 21, false)), at(30));
        assertTrue(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(20)));
        assertFalse(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(19)));
    }

    /** Without any position, a host gets all objects, which leaves nothing to delete. */
    @Test
    void aHostWithoutObjectsLacksNoDeletion() {
        mirror.applyList(ObjectKind.RUNNER, List.of(object("a", 5, false)), at(20));
        assertTrue(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, StorePosition.START));
        mirror.applyList(ObjectKind.RUNNER, List.of(restoredObject("a", 5, "")), restored(20));
        assertTrue(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(20)));
    }

    @Test
    void changesWithoutDeletionsCompleteAKindOnlyIfTheObjectsAreTheSame() {
        StoreMirror other = mirror(new ArrayList<>());
        other.applyList(ObjectKind.RUNNER, List.of(object("a", 5, false), object("c", 18, false)), at(20));
        mirror.applyList(ObjectKind.RUNNER, List.of(object("a", 5, false), object("b", 6, false)), at(10));
        applyFrom(other);
        assertEquals(at(10), mirror.completeTo(ObjectKind.RUNNER));
        mirror.applyChanges(ObjectKind.RUNNER, List.of(object("b", 12, true)), at(12));
        applyFrom(other);
        assertEquals(at(20), mirror.completeTo(ObjectKind.RUNNER));
        assertEquals(List.of("a@5", "b@6", "c@18", "b@12 gone"), notified);
        assertFalse(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(12)));
    }

    private void applyFrom(StoreMirror other) {
        mirror.applyChangesWithoutDeletions(
                ObjectKind.RUNNER,
                other.changedAfter(ObjectKind.RUNNER, mirror.completeTo(ObjectKind.RUNNER)),
                other.completeTo(ObjectKind.RUNNER),
                other.fingerprint(ObjectKind.RUNNER));
    }

    /** Tombstones would otherwise be kept for as long as the process runs. */
    @Test
    void theOldestTombstonesAreDropped() {
        int deleted = MirroredObjects.MAX_TOMBSTONES + 1;
        for (int revision = 1; revision <= deleted; revision++) {
            String name = "r" + revision;
            mirror.applyChanges(ObjectKind.RUNNER, List.of(object(name, 2L * revision, false)), at(2L * revision));
            mirror.applyChanges(
                    ObjectKind.RUNNER, List.of(object(name, 2L * revision + 1, true)), at(2L * revision + 1));
        }
        List<StoredObject> known = mirror.changedAfter(ObjectKind.RUNNER, StorePosition.START);
        assertTrue(known.size() <= MirroredObjects.MAX_TOMBSTONES, known.size() + " tombstones");
        StorePosition oldest = known.getFirst().position();
        assertFalse(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(oldest.revision() - 3)));
        assertTrue(mirror.knowsDeletionsAfter(ObjectKind.RUNNER, at(oldest.revision() - 2)));
    }

    @Test
    void eachEraIsAnnouncedOnce() {
        mirror.applyChanges(ObjectKind.RUNNER, List.of(), at(50));
        mirror.applyChanges(ObjectKind.CONFIGURATION, List.of(), at(60));
        mirror.applyList(ObjectKind.RUNNER, List.of(), restored(30));
        mirror.applyList(ObjectKind.CONFIGURATION, List.of(), restored(30));
        mirror.applyList(ObjectKind.RUNNER, List.of(), at(70));
        mirror.applyList(ObjectKind.RUNNER, List.of(), new StorePosition(3, 20));
        assertEquals(List.of("0 to 1", "1 to 2", "2 to 3"), eras);
    }
}
