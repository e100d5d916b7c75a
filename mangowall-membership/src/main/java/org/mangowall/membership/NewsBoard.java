package org.mangowall.membership;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.name.ZoneName;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.MemberState;

/** The news that a router passes on, counted apart for its own zone and for all others. */
final class NewsBoard {

    private static final int BASE_SENDS = 2;

    private final ZoneName zone;
    private final int newsPerMessage;
    private final NewsQueue zoneNews = new NewsQueue();
    private final NewsQueue otherZonesNews = new NewsQueue();

    NewsBoard(ZoneName zone, int newsPerMessage) {
        this.zone = zone;
        this.newsPerMessage = newsPerMessage;
    }

    /** Adds news for all zones. */
    void add(FleetMember news) {
        zoneNews.add(news);
        otherZonesNews.add(news);
    }

    /**
     * Composes the members of one message: the sender, then what the receiver must refute, then news.
     *
     * @param receiver how the sender sees the receiver
     * @param peers how many routers the sender exchanges probes with
     */
    List<FleetMember> compose(FleetMember self, FleetMember receiver, int peers) {
        List<FleetMember> members = new ArrayList<>();
        members.add(self);
        if (receiver.state() == MemberState.SUSPECT || receiver.state() == MemberState.DEAD) {
            members.add(receiver);
        }
        NewsQueue queue = receiver.zone().equals(zone) ? zoneNews : otherZonesNews;
        members.addAll(queue.take(newsPerMessage - members.size(), sendLimit(peers)));
        return members;
    }

    private static int sendLimit(int peers) {
        return BASE_SENDS + 2 * Doublings.of(peers);
    }
}
