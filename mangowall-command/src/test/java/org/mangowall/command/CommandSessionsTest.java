package org.mangowall.command;

import java.nio.file.Path;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;

import static org.junit.jupiter.api.Assertions.assertFalse;

class CommandSessionsTest {

    private static final String INVENTORY = """
            [[regions]]
            name = "bretagne"
            availability_zones = ["rennes", "brest"]

            [[services]]
            name = "caisse"
            kind = "plain"

            [[runners]]
            name = "caisse-rennes"
            service = "caisse"
            zone = "rennes"
            address = "127.0.0.1:19501"
            slots = 32

            [[runners]]
            name = "caisse-brest"
            service = "caisse"
            zone = "brest"
            address = "127.0.0.1:19502"
            slots = 32

            [[workspaces]]
            name = "bureau-auray"

            [[workspaces]]
            name = "papeterie-republique"
            weight = 4.0
            """;

    @TempDir
    private Path folder;

    private FakeRouter.FakeStore store;
    private FakeRouter first;
    private FakeRouter second;
    private CommandSession session;

    @BeforeEach
    void startFleet() {
        store = new FakeRouter.FakeStore();
        first = new FakeRouter("router-1", "rennes", store);
        second = new FakeRouter("router-2", "brest", store);
        session = new CommandSession(folder)
                .name(first.address(), "FIRST")
                .name(second.address(), "SECOND")
                .name(CommandSession.freeAddress(), "NOBODY")
                .file("inventory.toml", INVENTORY)
                .file("mangowall.toml", "routers = [\"" + first.address() + "\", \"" + second.address() + "\"]\n");
    }

    @AfterEach
    void stopFleet() {
        first.close();
        second.close();
    }

    @Test
    void firstDayOfAnOperator() {
        session.run("version")
                .run("validate inventory.toml")
                .run("get --settings mangowall.toml")
                .run("plan inventory.toml --settings mangowall.toml")
                .run("apply inventory.toml --settings mangowall.toml")
                .note("Repeating it changes nothing.")
                .run("apply inventory.toml --settings mangowall.toml")
                .run("get --settings mangowall.toml")
                .run("status --settings mangowall.toml")
                .run("explain router-1~1~1 --settings mangowall.toml")
                .run("explain router-7~1~1 --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void rulesComeAndGo() {
        session.run("apply inventory.toml --settings mangowall.toml --wait 0s")
                .run("zone close rennes --settings mangowall.toml")
                .note("A file without rules keeps those in force.")
                .run("plan inventory.toml --settings mangowall.toml")
                .run("zone close brest --settings mangowall.toml")
                .run("zone open brest --settings mangowall.toml")
                .run("runner drain caisse-brest --settings mangowall.toml")
                .run("runner return caisse-brest --settings mangowall.toml")
                .run("workspace weight bureau-auray 2.5 --settings mangowall.toml")
                .run("workspace weight bureau-auray 0 --settings mangowall.toml")
                .run("zone close quimper --settings mangowall.toml")
                .run("zone shut rennes --settings mangowall.toml")
                .run("zone open rennes --settings mangowall.toml")
                .run("zone open rennes --settings mangowall.toml")
                .run("get --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void twoOperatorsRace() {
        session.run("apply inventory.toml --settings mangowall.toml").note("Another operator writes in between.");
        store.write(documentWithSlots(8));
        session.run("apply inventory.toml --settings mangowall.toml --expect-version 1")
                .note("Another operator writes between the look at the plan and the write.");
        first.rivalWritesFirst(documentWithSlots(4));
        session.run("apply inventory.toml --settings mangowall.toml")
                .note("A rule is changed on top of what the other operator wrote.");
        first.rivalWritesFirst(documentWithSlots(6));
        session.run("zone close rennes --settings mangowall.toml").run("get --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    private static byte[] documentWithSlots(int slots) {
        return InventoryDocument.parseToml("rival", INVENTORY.replace("slots = 32", "slots = " + slots))
                .toJson();
    }

    @Test
    void aLostAnswerIsSettledByReadingBack() {
        first.loseNextWriteAnswer();
        session.note("The write took effect, its answer was lost.")
                .run("apply inventory.toml --settings mangowall.toml")
                .note("Writes and their answers are lost for a while.");
        first.loseWrites(true);
        session.run("zone close rennes --settings mangowall.toml");
        first.loseWrites(false);
        session.note("Repeating is safe.").run("zone close rennes --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void routersAndThePlatformFail() {
        session.note("The first address is dead, the next one answers.")
                .run("apply inventory.toml --routers NOBODY,FIRST --wait 0s")
                .run("status --routers NOBODY --timeout 2s")
                .run("plan inventory.toml --routers NOBODY --output json");
        first.failWith(FailureCode.PLATFORM_UNAVAILABLE);
        session.note("One router does not reach the platform, the other does.")
                .run("zone close rennes --settings mangowall.toml --wait 2s");
        second.failWith(FailureCode.PLATFORM_UNAVAILABLE);
        session.note("None does.").run("zone open rennes --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void aRouterStaysBehind() {
        second.lagBehind();
        session.run("apply inventory.toml --settings mangowall.toml --wait 3s");
        Approvals.verify(session.transcript());
    }

    @Test
    void operatorsProveWhoTheyAre() {
        store.write(InventoryDocument.parseToml("first", INVENTORY).toJson());
        first.requireToken("correct-horse");
        session.file("right.token", "correct-horse\n")
                .file("wrong.token", "battery-staple\n")
                .run("plan inventory.toml --routers FIRST")
                .run("plan inventory.toml --routers FIRST --token-file wrong.token")
                .run("plan inventory.toml --routers FIRST --token-file right.token")
                .run("plan inventory.toml --routers FIRST --token-file missing.token");
        Approvals.verify(session.transcript());
    }

    @Test
    void programsReadJson() {
        session.run("validate inventory.toml --output json")
                .run("plan inventory.toml --settings mangowall.toml --output json")
                .run("apply inventory.toml --settings mangowall.toml --output json")
                .run("status --settings mangowall.toml --output json")
                .run("explain router-1~1~1 --settings mangowall.toml --output json")
                .run("zone close quimper --settings mangowall.toml --output json");
        Approvals.verify(session.transcript());
    }

    @Test
    void helpAndMistakes() {
        session.file("faulty.toml", INVENTORY.replace("\"rennes\"\naddress", "\"renes\"\naddress") + "colour = 1\n")
                .run("--help")
                .run("apply --help")
                .run("zone --help")
                .run("")
                .run("aply inventory.toml")
                .run("apply")
                .run("plan inventory.toml")
                .run("plan inventory.toml --routers localhost:8080")
                .run("plan inventory.toml --routers FIRST --output yaml")
                .run("validate faulty.toml")
                .run("validate missing.toml")
                .run("explain nonsense --routers FIRST");
        Approvals.verify(session.transcript());
    }

    @Test
    void aRequestIsFollowedThroughTheLogsOfHosts() {
        session.file("host-1.log", """
                        {"at":1780280253754,"host":"host-1","event":"placed","request":"9c41","runner":"i-1"}
                        {"at":1780280253760,"host":"host-1","event":"placed","request":"9c42","runner":"i-1"}
                        {"at":1780280253790,"host":"host-1","event":"not-run","request":"9c41","reason":"status 503"}
                        {"at":1780280253795,"host":"host-1","event":"ended","request":"9c41","outcome":"retries-exha
                        """)
                .file("host-2.log", """
                        {"at":1780280253700,"host":"host-2","event":"turned-away","request":"9c41","code":"no-runner"}
                        """)
                .run("trace 9c41 host-1.log host-2.log")
                .run("trace 9c41 host-2.log --output json")
                .run("trace none host-1.log")
                .run("trace 9c41 missing.log")
                .run("trace");
        Approvals.verify(session.transcript());
    }

    @Test
    void theGivenTokenIsNeverShown() {
        first.requireToken("correct-horse");
        session.file("right.token", "correct-horse\n")
                .run("plan inventory.toml --routers FIRST --token-file right.token --output json");
        assertFalse(session.transcript().contains("correct-horse"));
    }
}
