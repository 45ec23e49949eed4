//! Flows that are known to have opened at a host: nobody else is asked when they end with their backend server.

use endivedyke::Suspicion;
use endivedyke::opaque::{Action, Message, MessageKind};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, PacketSpec, acceptance, bounced, directory, flow, forwarder,
    from_backend, host, hosts_told, opener, reaches_backend, request, resets,
};

/// Returns the flows that actions tell the balancer to have opened.
fn told_opened(actions: &[Action]) -> usize {
    let told = actions.iter().filter(|action| {
        matches!(action, Action::ToPeer(BALANCER, message, _)
            if message.kind == MessageKind::Holds && message.has_opened)
    });
    told.count()
}

/// Hands over a packet of a flow that is known to have opened at the agent.
fn deliver_opened(agent: &mut AgentUnderTest, packet: &[u8]) -> Vec<Action> {
    let mut message = Message::new(MessageKind::Deliver);
    message.host = BALANCER;
    message.has_opened = true;
    agent.hear(BALANCER, message, packet)
}

/// Tells whether the balancer sends a packet as one of a flow that has opened at the receiver.
fn is_sent_as_opened(balancer: &mut endivedyke::opaque::Forwarder, packet: Vec<u8>) -> bool {
    let action = balancer.handle(&directory(5), &mut Suspicion::default(), packet, 2_000);
    match action.expect("forwarded") {
        Action::ToPeer(_, message, _) => message.has_opened,
        other => panic!("not forwarded: {other:?}"),
    }
}

#[test]
fn a_flow_that_ended_with_its_backend_server_is_reset_at_any_size_and_nobody_asked() {
    for count in [30, 300, 1_000, 6_000] {
        let mut agent = AgentUnderTest::new(count, false);
        let packet = request(&flow(1), 501);
        assert!(reaches_backend(&deliver_opened(&mut agent, &packet)));
        let actions = agent.backend(bounced(packet));
        assert_eq!(resets(&actions), [flow(1)], "{count} agents");
        assert!(hosts_told(&actions, MessageKind::Find).is_empty());
    }
}

#[test]
fn a_backend_server_that_keeps_the_packet_holds_the_flow() {
    let mut agent = AgentUnderTest::new(300, false);
    deliver_opened(&mut agent, &request(&flow(1), 501));
    let actions = agent.tick_at(1_100);
    assert!(resets(&actions).is_empty());
    assert_eq!(agent.keeper.open_flows(), 1);
}

#[test]
fn without_that_knowledge_the_others_are_asked() {
    for knows_all in [true, false] {
        let mut agent = AgentUnderTest::new(300, knows_all);
        let packet = request(&flow(1), 501);
        let mut actions = agent.deliver(&packet);
        if !knows_all {
            actions = agent.backend(bounced(packet));
        }
        assert!(resets(&actions).is_empty());
        assert_eq!(hosts_told(&actions, MessageKind::Find).len(), 16);
    }
}

#[test]
fn an_agent_that_knows_all_flows_still_leaves_the_word_to_its_backend_server() {
    let mut agent = AgentUnderTest::new(300, true);
    let packet = request(&flow(1), 501);
    let actions = deliver_opened(&mut agent, &packet);
    assert!(resets(&actions).is_empty());
    assert!(reaches_backend(&actions));
    assert_eq!(resets(&agent.backend(bounced(packet))), [flow(1)]);
}

#[test]
fn a_balancer_is_told_once_the_caller_chose_the_backend_server() {
    let mut agent = AgentUnderTest::new(3, true);
    let taken = agent.deliver(&opener(&flow(1), 0));
    assert_eq!(told_opened(&taken), 0, "the caller may choose another one");
    agent.backend(acceptance(&flow(1), 500));
    let opened = agent.deliver(&request(&flow(1), 501));
    assert_eq!(told_opened(&opened), 1);
    assert_eq!(told_opened(&agent.deliver(&request(&flow(1), 501))), 0);
    agent.now_ms += 200;
    let unaware = agent.deliver(&request(&flow(1), 501));
    assert_eq!(told_opened(&unaware), 1, "the word was lost");
    agent.now_ms += 200;
    assert_eq!(
        told_opened(&deliver_opened(&mut agent, &request(&flow(1), 501))),
        0
    );
}

#[test]
fn what_no_backend_server_showed_is_not_told_as_opened() {
    let mut unanswered = AgentUnderTest::new(3, true);
    unanswered.deliver(&opener(&flow(1), 0));
    let opened = unanswered.deliver(&request(&flow(1), 501));
    assert_eq!(told_opened(&opened), 0, "its acceptance was not seen");

    let mut other = AgentUnderTest::new(3, true);
    other.deliver(&opener(&flow(1), 0));
    other.backend(acceptance(&flow(1), 500));
    let chosen_elsewhere = other.deliver(&request(&flow(1), 901));
    assert_eq!(told_opened(&chosen_elsewhere), 0);

    let mut restarted = AgentUnderTest::new(3, false);
    restarted.deliver(&request(&flow(1), 501));
    restarted.tick_at(1_100);
    let silent = restarted.deliver(&request(&flow(1), 501));
    assert_eq!(told_opened(&silent), 0, "silence shows nothing");
    let spec = PacketSpec {
        flags: ACK,
        sequence: 501,
        data_bytes: 10,
        ..PacketSpec::default()
    };
    restarted.backend(from_backend(&flow(1), spec));
    let shown = restarted.deliver(&request(&flow(1), 511));
    assert_eq!(told_opened(&shown), 1);
}

#[test]
fn a_balancer_says_so_with_each_packet_of_the_flow() {
    let mut balancer = forwarder();
    balancer.record_holder(flow(1), host(4), 1_000);
    assert!(!is_sent_as_opened(&mut balancer, request(&flow(1), 501)));
    balancer.record_opened(flow(1), host(4), 1_010);
    assert!(is_sent_as_opened(&mut balancer, request(&flow(1), 501)));
    // Who took a copy of the opener late does not hold it.
    balancer.record_holder(flow(1), host(2), 1_020);
    assert!(is_sent_as_opened(&mut balancer, request(&flow(1), 900)));
    assert!(!is_sent_as_opened(&mut balancer, request(&flow(2), 501)));
}

#[test]
fn a_later_flow_between_the_same_ends_is_not_taken_for_the_one_before() {
    let mut reopened = forwarder();
    reopened.record_opened(flow(1), host(4), 1_000);
    assert!(!is_sent_as_opened(&mut reopened, opener(&flow(1), 0)));
    assert!(!is_sent_as_opened(&mut reopened, request(&flow(1), 501)));

    // Its opener came through another balancer.
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
