package org.mangowall.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetMember;

/** News of members that still has to be passed on, each item a bounded number of times, least-sent first. */
final class NewsQueue {

    private final Map<RouterName, Item> items = new LinkedHashMap<>();

    private static final class Item {
        private final FleetMember member;
        private int sends;

        Item(FleetMember member) {
            this.member = member;
        }
    }

    /** Adds news, in place of older news of the same router. */
    void add(FleetMember member) {
        items.remove(member.name());
        items.put(member.name(), new Item(member));
    }

    /** Takes up to the given number of items and counts one send for each; at the limit an item is dropped. */
    List<FleetMember> take(int count, int sendLimit) {
        List<Item> chosen = items.values().stream()
                .sorted((left, right) -> Integer.compare(left.sends, right.sends))
                .limit(count)
                .toList();
        List<FleetMember> members = new ArrayList<>(chosen.size());
        for (Item item : chosen) {
            members.add(item.member);
            item.sends++;
            if (item.sends >= sendLimit) {
                items.remove(item.member.name());
            }
        }
        return members;
    }
}
