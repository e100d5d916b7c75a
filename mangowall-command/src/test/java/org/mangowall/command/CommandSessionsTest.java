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
    private Path directory;

    private FakeRouter.FakeStore store;
    private FakeRouter first;
    private FakeRouter second;
    private CommandSession session;

    @BeforeEach
    void startFleet() {
        store = new FakeRouter.FakeStore();
        first = new FakeRouter("router-1", "rennes", store);
        second = new FakeRouter("router-2", "brest", store);
        session = new CommandSession(directory)
                .placeholder(first.address(), "FIRST")
                .placeholder(second.address(), "SECOND")
                .placeholder(CommandSession.unusedAddress(), "NOBODY")
                .file("inventory.toml", INVENTORY)
                .file("mangowall.toml", "routers = [\"" + first.address() + "\", \"" + second.address() + "\"]\n");
    }

    @AfterEach
    void stopFleet() {
        first.close();
        second.close();
    }

    @Test
    void appliesAndReadsFirstInventory() {
        session.run("version")
                .run("validate inventory.toml")
                .run("get --settings mangowall.toml")
                .run("plan inventory.toml --settings mangowall.toml")
                .run("apply inventory.toml --settings mangowall.toml")
                .comment("Repeating it changes nothing.")
                .run("apply inventory.toml --settings mangowall.toml")
                .run("get --settings mangowall.toml")
                .run("status --settings mangowall.toml")
                .run("explain router-1~1~1 --settings mangowall.toml")
                .run("explain router-7~1~1 --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void changesAndRevertsRules() {
        session.run("apply inventory.toml --settings mangowall.toml --wait 0s")
                .run("zone close rennes --settings mangowall.toml")
                .comment("The stored rules are retained if the file contains none.")
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
    void detectsWritesOfAnotherOperator() {
        session.run("apply inventory.toml --settings mangowall.toml")
                .comment("Another operator writes between the two commands.");
        store.write(documentWithSlots(8));
        session.run("apply inventory.toml --settings mangowall.toml --expect-version 1")
                .comment("Another operator writes after the plan is computed and before it is written.");
        first.writeConcurrentlyBeforeNextWrite(documentWithSlots(4));
        session.run("apply inventory.toml --settings mangowall.toml")
                .comment("The rule change is applied again to the inventory of the other operator.");
        first.writeConcurrentlyBeforeNextWrite(documentWithSlots(6));
        session.run("zone close rennes --settings mangowall.toml").run("get --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    private static byte[] documentWithSlots(int slots) {
        return InventoryDocument.parseToml("rival", INVENTORY.replace("slots = 32", "slots = " + slots))
                .toJson();
    }

    @Test
    void readsBackAfterLostWriteResponse() {
        first.loseNextWriteResponse();
        session.comment("The write takes effect, but its response is lost.")
                .run("apply inventory.toml --settings mangowall.toml")
                .comment("Writes are dropped and their outcome is unknown.");
        first.rejectWritesWithUnknownOutcome(true);
        session.run("zone close rennes --settings mangowall.toml");
        first.rejectWritesWithUnknownOutcome(false);
        session.comment("The command can safely be repeated.").run("zone close rennes --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void reportsRouterAndPlatformFailures() {
        session.comment("Nothing listens on the first address, the next router answers.")
                .run("apply inventory.toml --routers NOBODY,FIRST --wait 0s")
                .run("status --routers NOBODY --timeout 2s")
                .run("plan inventory.toml --routers NOBODY --output json");
        first.failWith(FailureCode.PLATFORM_UNAVAILABLE);
        session.comment("One router does not reach the platform, but the other does.")
                .run("zone close rennes --settings mangowall.toml --wait 2s");
        second.failWith(FailureCode.PLATFORM_UNAVAILABLE);
        session.comment("Neither router reaches the platform.").run("zone open rennes --settings mangowall.toml");
        Approvals.verify(session.transcript());
    }

    @Test
    void reportsRouterWithOutdatedVersion() {
        second.reportPreviousVersion();
        session.run("apply inventory.toml --settings mangowall.toml --wait 3s");
        Approvals.verify(session.transcript());
    }

    @Test
    void authenticatesOperatorByToken() {
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
    void printsJson() {
        session.run("validate inventory.toml --output json")
                .run("plan inventory.toml --settings mangowall.toml --output json")
                .run("apply inventory.toml --settings mangowall.toml --output json")
                .run("status --settings mangowall.toml --output json")
                .run("explain router-1~1~1 --settings mangowall.toml --output json")
                .run("zone close quimper --settings mangowall.toml --output json");
        Approvals.verify(session.transcript());
    }

    @Test
    void printsHelpAndUsageErrors() {
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
    void tracesRequestThroughHostLogs() {
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
    void doesNotPrintToken() {
        first.requireToken("correct-horse");
        session.file("right.token", "correct-horse\n")
                .run("plan inventory.toml --routers FIRST --token-file right.token --output json");
        assertFalse(session.transcript().contains("correct-horse"));
    }
}
