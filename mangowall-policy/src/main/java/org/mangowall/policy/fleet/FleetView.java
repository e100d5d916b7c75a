package org.mangowall.policy.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangowall.kernel.name.RouterName;

/** All routers known to one router, including itself, sorted by name. */
public final class FleetView {

    private final Map<RouterName, FleetMember> members;

    private FleetView(Map<RouterName, FleetMember> members) {
        this.members = Collections.unmodifiableMap(members);
    }

    /** Creates a view of the given members. */
    public static FleetView of(Collection<FleetMember> members) {
        Map<RouterName, FleetMember> sorted = new TreeMap<>();
        members.forEach(member -> sorted.put(member.name(), member));
        return new FleetView(sorted);
    }

    /** All members by name. */
    public Map<RouterName, FleetMember> members() {
        return members;
    }

    /** The member of that name, if it is known. */
    public Optional<FleetMember> member(RouterName name) {
        return Optional.ofNullable(members.get(name));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FleetView view && members.equals(view.members);
    }

    @Override
    public int hashCode() {
        return members.hashCode();
    }

    @Override
    public String toString() {
        return members.values().toString();
    }
}
