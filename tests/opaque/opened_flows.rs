//! Flows that are known to have opened at a host: when they end with their backend server, no
//! lookup is needed.

use endivedyke::Suspicion;
use endivedyke::opaque::{Action, Message, MessageKind};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, PacketSpec, acceptance, directory, flow, forwarder,
    from_backend, host, opener, reaches_backend, receivers, request, resets, returned_packet,
};

/// Returns the number of notices to the balancer that a flow has opened.
fn count_opened_notices(actions: &[Action]) -> usize {
    let notices = actions.iter().filter(|action| {
        matches!(action, Action::ToPeer(BALANCER, message, _)
            if message.kind == MessageKind::Holds && message.has_opened)
    });
    notices.count()
}

/// Delivers a packet of a flow that the balancer knows to have opened at the agent.
fn deliver_opened(agent: &mut AgentUnderTest, packet: &[u8]) -> Vec<Action> {
    let mut message = Message::new(MessageKind::Deliver);
    message.host = BALANCER;
    message.has_opened = true;
    agent.deliver_message(BALANCER, message, packet)
}

/// Returns whether the balancer marks a packet as one of a flow that has opened at the receiver.
fn is_sent_as_opened(balancer: &mut endivedyke::opaque::Forwarder, packet: Vec<u8>) -> bool {
    let action = balancer.handle(&directory(5), &mut Suspicion::default(), packet, 2_000);
    match action.expect("forwarded") {
        Action::ToPeer(_, message, _) => message.has_opened,
        other => panic!("not forwarded: {other:?}"),
    }
}

#[test]
fn an_opened_flow_that_ended_is_reset_without_a_lookup_on_sites_of_any_size() {
    for count in [30, 300, 1_000, 6_000] {
        let mut agent = AgentUnderTest::new(count, false);
        let packet = request(&flow(1), 501);
        assert!(reaches_backend(&deliver_opened(&mut agent, &packet)));
        let actions = agent.deliver_from_backend(returned_packet(packet));
        assert_eq!(resets(&actions), [flow(1)], "{count} agents");
        assert!(receivers(&actions, MessageKind::Find).is_empty());
    }
}

#[test]
fn a_backend_server_that_keeps_the_packet_holds_the_flow() {
    let mut agent = AgentUnderTest::new(300, false);
    deliver_opened(&mut agent, &request(&flow(1), 501));
    let actions = agent.tick_at(1_100);
    assert!(resets(&actions).is_empty());
    assert_eq!(agent.flow_agent.open_flows(), 1);
}

#[test]
fn a_lookup_is_started_for_a_flow_not_known_to_have_opened_here() {
    for knows_all_flows in [true, false] {
        let mut agent = AgentUnderTest::new(300, knows_all_flows);
        let packet = request(&flow(1), 501);
        let mut actions = agent.deliver(&packet);
        if !knows_all_flows {
            actions = agent.deliver_from_backend(returned_packet(packet));
        }
        assert!(resets(&actions).is_empty());
        assert_eq!(receivers(&actions, MessageKind::Find).len(), 16);
    }
}

#[test]
fn an_agent_that_knows_all_flows_still_tries_its_backend_server_first() {
    let mut agent = AgentUnderTest::new(300, true);
    let packet = request(&flow(1), 501);
    let actions = deliver_opened(&mut agent, &packet);
    assert!(resets(&actions).is_empty());
    assert!(reaches_backend(&actions));
    assert_eq!(
        resets(&agent.deliver_from_backend(returned_packet(packet))),
        [flow(1)]
    );
}

#[test]
fn a_balancer_is_notified_once_the_caller_chose_the_backend_server() {
    let mut agent = AgentUnderTest::new(3, true);
    let taken = agent.deliver(&opener(&flow(1), 0));
    assert_eq!(
        count_opened_notices(&taken),
        0,
        "the caller may choose another one"
    );
    agent.deliver_from_backend(acceptance(&flow(1), 500));
    let opened = agent.deliver(&request(&flow(1), 501));
    assert_eq!(count_opened_notices(&opened), 1);
    assert_eq!(
        count_opened_notices(&agent.deliver(&request(&flow(1), 501))),
        0
    );
    agent.now_ms += 200;
    let unaware = agent.deliver(&request(&flow(1), 501));
    assert_eq!(
        count_opened_notices(&unaware),
        1,
        "the first notice was lost"
    );
    agent.now_ms += 200;
    assert_eq!(
        count_opened_notices(&deliver_opened(&mut agent, &request(&flow(1), 501))),
        0
    );
}

#[test]
fn a_flow_is_reported_as_opened_only_after_a_packet_from_the_backend_server() {
    let mut unanswered = AgentUnderTest::new(3, true);
    unanswered.deliver(&opener(&flow(1), 0));
    let opened = unanswered.deliver(&request(&flow(1), 501));
    assert_eq!(count_opened_notices(&opened), 0, "no acceptance was seen");

    let mut other = AgentUnderTest::new(3, true);
    other.deliver(&opener(&flow(1), 0));
    other.deliver_from_backend(acceptance(&flow(1), 500));
    let chosen_elsewhere = other.deliver(&request(&flow(1), 901));
    assert_eq!(count_opened_notices(&chosen_elsewhere), 0);

    let mut restarted = AgentUnderTest::new(3, false);
    restarted.deliver(&request(&flow(1), 501));
    restarted.tick_at(1_100);
    let silent = restarted.deliver(&request(&flow(1), 501));
    assert_eq!(
        count_opened_notices(&silent),
        0,
        "silence does not show that it opened"
    );
    let spec = PacketSpec {
        flags: ACK,
        sequence: 501,
        data_bytes: 10,
        ..PacketSpec::default()
    };
    restarted.deliver_from_backend(from_backend(&flow(1), spec));
    let shown = restarted.deliver(&request(&flow(1), 511));
    assert_eq!(count_opened_notices(&shown), 1);
}

#[test]
fn a_balancer_marks_each_packet_of_an_opened_flow() {
    let mut balancer = forwarder();
    balancer.record_holder(flow(1), host(4), 1_000);
    assert!(!is_sent_as_opened(&mut balancer, request(&flow(1), 501)));
    balancer.record_opened(flow(1), host(4), 1_010);
    assert!(is_sent_as_opened(&mut balancer, request(&flow(1), 501)));
    // An agent that took a late copy of the opener does not hold the flow.
    balancer.record_holder(flow(1), host(2), 1_020);
    assert!(is_sent_as_opened(&mut balancer, request(&flow(1), 900)));
    assert!(!is_sent_as_opened(&mut balancer, request(&flow(2), 501)));
}

#[test]
fn a_later_flow_between_the_same_endpoints_is_not_marked_as_opened() {
    let mut reopened = forwarder();
    reopened.record_opened(flow(1), host(4), 1_000);
    assert!(!is_sent_as_opened(&mut reopened, opener(&flow(1), 0)));
    assert!(!is_sent_as_opened(&mut reopened, request(&flow(1), 501)));

    // The opener of the later flow came through another balancer.
    let mut unaware = forwarder();
    unaware.record_opened(flow(1), host(4), 1_000);
    assert!(is_sent_as_opened(&mut unaware, request(&flow(1), 501)));
    assert!(!is_sent_as_opened(
        &mut unaware,
        request(&flow(1), 0x4000_0000)
    ));
    assert!(!is_sent_as_opened(
        &mut unaware,
        request(&flow(1), 0x4000_0000)
    ));
}
