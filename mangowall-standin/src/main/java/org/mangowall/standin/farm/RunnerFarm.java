package org.mangowall.standin.farm;

import java.time.Clock;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.netty.channel.EventLoopGroup;
import org.mangowall.inventory.Runner;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.standin.engine.ModelEngineSettings;
import org.mangowall.standin.engine.ModelEngineStandIn;
import org.mangowall.standin.plain.PlainServiceSettings;
import org.mangowall.standin.plain.PlainServiceStandIn;
import org.mangowall.standin.runner.RunnerStandIn;
import org.mangowall.standin.runner.RunnerStandInSettings;
import org.mangowall.standin.runner.SideEffectLedger;

/** Runs a stand-in for each runner of an inventory; the runners of one service share a ledger. */
public final class RunnerFarm implements AutoCloseable {

    private final FarmSettings settings;
    private final EventLoopGroup eventLoops;
    private final Clock clock;
    private final boolean usesFreePorts;
    private final List<Runner> runners = new ArrayList<>();
    private final List<RunnerStandIn> standIns = new ArrayList<>();
    private final Map<ServiceName, SideEffectLedger> ledgers = new TreeMap<>();

    private RunnerFarm(FarmSettings settings, EventLoopGroup eventLoops, Clock clock, boolean usesFreePorts) {
        this.settings = settings;
        this.eventLoops = eventLoops;
        this.clock = clock;
        this.usesFreePorts = usesFreePorts;
    }

    /** Starts the runners of the given service kinds at the addresses of the inventory. */
    public static RunnerFarm start(
            InventoryDocument document,
            Set<ServiceKind> kinds,
            FarmSettings settings,
            EventLoopGroup eventLoops,
            Clock clock) {
        RunnerFarm farm = new RunnerFarm(settings, eventLoops, clock, false);
        farm.startAll(document, kinds);
        return farm;
    }

    /** Starts all runners on free loopback ports. */
    public static RunnerFarm startOnFreePorts(
            InventoryDocument document, FarmSettings settings, EventLoopGroup eventLoops, Clock clock) {
        RunnerFarm farm = new RunnerFarm(settings, eventLoops, clock, true);
        farm.startAll(document, EnumSet.allOf(ServiceKind.class));
        return farm;
    }

    private void startAll(InventoryDocument document, Set<ServiceKind> kinds) {
        Map<ServiceName, ServiceKind> kindByService = new TreeMap<>();
        document.services().forEach(service -> kindByService.put(service.name(), service.kind()));
        try {
            for (Runner runner : document.runners()) {
                ServiceKind kind = kindByService.get(runner.service());
                if (kinds.contains(kind)) {
                    startRunner(runner, kind);
                }
            }
        } catch (RuntimeException failure) {
            close();
            throw failure;
        }
    }

    private void startRunner(Runner runner, ServiceKind kind) {
        SideEffectLedger ledger = ledgers.computeIfAbsent(runner.service(), service -> new SideEffectLedger());
        int port = switch (kind) {
            case MODEL -> startEngine(runner, ledger);
            case PLAIN -> startPlain(runner, ledger);
        };
        runners.add(new Runner(
                runner.name(), runner.service(), runner.zone(), host(runner), port, runner.slots(), runner.draining()));
    }

    private int startEngine(Runner runner, SideEffectLedger ledger) {
        ModelEngineSettings model = settings.model();
        ModelEngineStandIn engine = ModelEngineStandIn.start(
                new ModelEngineSettings(
                        withRunnerAddress(model.runner(), runner), model.timeToFirstToken(), model.timeBetweenTokens()),
                eventLoops.next(),
                clock,
                ledger);
        standIns.add(engine);
        return engine.port();
    }

    private int startPlain(Runner runner, SideEffectLedger ledger) {
        PlainServiceSettings plain = settings.plain();
        PlainServiceStandIn service = PlainServiceStandIn.start(
                new PlainServiceSettings(withRunnerAddress(plain.runner(), runner), plain.workTime()),
                eventLoops.next(),
                clock,
                ledger);
        standIns.add(service);
        return service.port();
    }

    private RunnerStandInSettings withRunnerAddress(RunnerStandInSettings base, Runner runner) {
        return base.withAddress(host(runner), usesFreePorts ? 0 : runner.port())
                .withSlots(runner.slots(), base.warmUp());
    }

    private String host(Runner runner) {
        return usesFreePorts ? "127.0.0.1" : runner.host();
    }

    /** Returns the started runners with the addresses on which they listen. */
    public List<Runner> runners() {
        return List.copyOf(runners);
    }

    /** Returns the ledger of a service. */
    public SideEffectLedger ledger(ServiceName service) {
        return ledgers.computeIfAbsent(service, name -> new SideEffectLedger());
    }

    @Override
    public void close() {
        standIns.forEach(RunnerStandIn::close);
        standIns.clear();
    }
}
