package org.mangowall.router.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.inventory.Inventory;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.policy.RouterIdentity;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/** Builds the JSON documents for callers: the list of entry hosts and the router's status. */
public final class CallerDocuments {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final RouterIdentity identity;
    private final Duration keepTime;
    private final Supplier<LifecycleState> state;
    private final Supplier<FleetView> view;
    private final Supplier<Inventory> inventory;

    /** Creates the documents of a router; {@code keepTime} is how long callers may cache the entry hosts. */
    public CallerDocuments(
            RouterIdentity identity,
            Duration keepTime,
            Supplier<LifecycleState> state,
            Supplier<FleetView> view,
            Supplier<Inventory> inventory) {
        this.identity = identity;
        this.keepTime = keepTime;
        this.state = state;
        this.view = view;
        this.inventory = inventory;
    }

    /** The entry hosts to use, nearest first, and how long callers may cache the list. */
    byte[] entryHosts() {
        ObjectNode document = MAPPER.createObjectNode();
        document.put("keep_millis", keepTime.toMillis());
        ArrayNode hosts = document.putArray("entry_hosts");
        for (FleetMember member : usableMembers()) {
            ObjectNode host = hosts.addObject();
            host.put("name", member.name().value());
            host.put("zone", member.zone().value());
            host.put("host", member.host());
            host.put("port", member.callerPort());
        }
        return write(document);
    }

    private List<FleetMember> usableMembers() {
        Inventory current = inventory.get();
        List<FleetMember> members = new ArrayList<>(view.get().members().values());
        members.removeIf(member -> member.state() != MemberState.ALIVE);
        if (isLeaving()) {
            members.removeIf(member -> member.name().equals(identity.name()));
        }
        members.sort(Comparator.comparingInt(member -> current.distance(identity.zone(), member.zone())));
        return members;
    }

    private boolean isLeaving() {
        LifecycleState current = state.get();
        return current == LifecycleState.LEAVING || current == LifecycleState.DRAINING;
    }

    /** A document with the given status of the process. */
    byte[] status(String status) {
        return write(MAPPER.createObjectNode().put("status", status));
    }

    private static byte[] write(ObjectNode document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a page can't be written", failure);
        }
    }
}
