package org.mangowall.inventory.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangowall.inventory.Runner;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.name.RunnerName;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.ZoneName;

/**
 * Reads an entry of the list of runners, which is a single runner or a group of runners.
 *
 * <p>A group has either {@code count} (consecutive ports of one host) or {@code addresses} (one for each runner). Its
 * runners are named after the group with a suffix {@code -1}, {@code -2} and so on.
 */
final class RunnerReader {

    // leaves room for the largest suffix, -10000, within the 63 characters of a name
    private static final int MAXIMUM_GROUP_NAME_LENGTH = 57;
    private static final int MAXIMUM_SLOTS = 10_000;
    private static final int MAXIMUM_GROUP_RUNNERS = 10_000;
    private static final int MAXIMUM_PORT = 65_535;

    private final InventoryReader reader;
    private final DefinedNames names;

    RunnerReader(InventoryReader reader, DefinedNames names) {
        this.reader = reader;
        this.names = names;
    }

    List<Runner> read(CheckedTable table) {
        Optional<RunnerName> name = reader.name(table, "name", RunnerName::new);
        Optional<ServiceName> service = reader.name(table, "service", ServiceName::new);
        service.ifPresent(value -> names.requireDefined(table, "service", "service", value));
        Optional<ZoneName> zone = reader.name(table, "zone", ZoneName::new);
        zone.ifPresent(value -> names.requireDefined(table, "zone", "availability zone", value));
        int slots = table.integer("slots", 1, MAXIMUM_SLOTS);
        List<HostAndPort> addresses = readAddresses(table);
        if (name.isEmpty() || service.isEmpty() || zone.isEmpty()) {
            return List.of();
        }
        boolean isGroup = table.has("count") || table.has("addresses");
        if (isGroup && name.get().value().length() > MAXIMUM_GROUP_NAME_LENGTH) {
            table.fault("name", "at most " + MAXIMUM_GROUP_NAME_LENGTH + " characters for a group of runners");
            return List.of();
        }
        List<Runner> runners = new ArrayList<>();
        for (HostAndPort address : addresses) {
            String runnerName = isGroup
                    ? name.get() + "-" + (runners.size() + 1)
                    : name.get().value();
            runners.add(new Runner(
                    new RunnerName(runnerName),
                    service.get(),
                    zone.get(),
                    address.host(),
                    address.port(),
                    slots,
                    false));
        }
        runners.forEach(runner -> define(table, runner));
        return runners;
    }

    private void define(CheckedTable table, Runner runner) {
        names.define(table, "name", "runner", runner.name());
        String addressKey = table.has("addresses") ? "addresses" : "address";
        names.define(table, addressKey, "address", new HostAndPort(runner.host(), runner.port()));
    }

    private static List<HostAndPort> readAddresses(CheckedTable table) {
        if (table.has("addresses")) {
            return readAddressList(table);
        }
        HostAndPort first = table.address("address");
        int count = table.integer("count", 1, MAXIMUM_GROUP_RUNNERS, 1);
        if (first.port() < 1 || first.port() + count - 1 > MAXIMUM_PORT) {
            table.fault("address", "ports from 1 to " + MAXIMUM_PORT + " for all runners");
            return List.of();
        }
        List<HostAndPort> addresses = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            addresses.add(new HostAndPort(first.host(), first.port() + index));
        }
        return addresses;
    }

    private static List<HostAndPort> readAddressList(CheckedTable table) {
        List<HostAndPort> addresses = table.addresses("addresses");
        if (addresses.isEmpty()) {
            table.fault("addresses", "at least one address");
        }
        for (HostAndPort address : addresses) {
            if (address.port() < 1) {
                table.fault("addresses", "a port from 1 to " + MAXIMUM_PORT);
            }
        }
        if (table.has("address") || table.has("count")) {
            table.fault("addresses", "either address with count, or addresses");
        }
        return addresses;
    }
}
