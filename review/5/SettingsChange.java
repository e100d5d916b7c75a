import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The settings of hosts change while hosts are restarted in turn: two hosts get SIGHUP, one of them just after its process
 * was started. That process ends by itself.
 */
public final class SettingsChange {

    private static final int ROUNDS = 3;
    /** The platform starts a process again after a short delay. */
    private static final long RESTART_MILLIS = 500;
    /** SIGHUP comes so long after the process was started. */
    private static final long SIGNAL_MILLIS = 200;
    private static final int GRACE_SECONDS = 8;

    private final Fleet fleet;
    private final int[] ownEnds = new int[3];

    private SettingsChange(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws IOException {
        Fleet.play(arguments, 3, fleet -> new SettingsChange(fleet).run());
    }

    private void run() throws Exception {
        fleet.add(new Runner("plain-1", "plain", this::respond), "a", 6);
        fleet.store.put("config", "main", Fleet.configuration(
                1,
                List.of(Fleet.route("records", "/records/", "non_idempotent", "plain", 1_000, 121, 1)),
                List.of(Fleet.plain("plain"))));
        fleet.startAll();
        for (int round = 1; round <= ROUNDS; round++) {
            for (int index = 1; index <= 2; index++) {
                restart(index, round);
            }
        }
        int served = 0;
        for (Host host : fleet.hosts) {
            try (Client client = new Client(host.callerPort)) {
                Client.Answer answer = client.call(
                        Client.head("POST", "/records/1", "last-" + host.name, 1_000, "key-1", 10), new byte[10], 2_000);
                served += answer.status() == 200 ? 1 : 0;
            }
        }
        fleet.write("at the end, %d of 3 hosts serve", served);
        fleet.write("processes that ended by themselves: edge-1 %d, edge-2 %d, edge-3 %d", ownEnds[0], ownEnds[1], ownEnds[2]);
        boolean isBroken = ownEnds[1] >= ROUNDS && ownEnds[2] >= ROUNDS;
        fleet.exit(isBroken ? 1 : served < 3 ? 2 : 0);
    }

    private boolean respond(Runner.Request request, OutputStream output) throws IOException {
        Runner.write(output, Runner.head(request, 200) + "Content-Length: 2\r\n\r\nok");
        return true;
    }

    private void restart(int index, int round) throws Exception {
        Host host = fleet.hosts.get(index);
        fleet.write("round %d: SIGTERM to %s", round, host.name);
        host.signal("TERM");
        if (!host.process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            fleet.write("%s is still running after %d s", host.name, GRACE_SECONDS);
            fleet.exit(2);
        }
        Thread.sleep(RESTART_MILLIS);
        host.start();
        Thread.sleep(SIGNAL_MILLIS);
        if (Fleet.hasTrouble()) {
            // Two of three hosts, one of which is running.
            for (int other : new int[] {0, index}) {
                fleet.hosts.get(other).changeSettings(round * 10 + index);
                fleet.hosts.get(other).signal("HUP");
            }
            fleet.write("the settings of two hosts change: SIGHUP to edge-1, and to %s, %d ms after it was started again",
                    host.name, SIGNAL_MILLIS);
            for (int other : new int[] {0, index}) {
                Host each = fleet.hosts.get(other);
                if (each.process.waitFor(1_000, TimeUnit.MILLISECONDS)) {
                    ownEnds[other] += 1;
                    fleet.write("%s ended by itself with status %d", each.name, each.process.exitValue());
                    Thread.sleep(RESTART_MILLIS);
                    each.start();
                }
            }
        }
        if (!host.awaitReady(20)) {
            fleet.write("%s isn't ready again", host.name);
            fleet.exit(2);
        }
    }
}
