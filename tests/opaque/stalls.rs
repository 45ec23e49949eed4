//! Stalls: the backend server takes requests and serves none.

use endivedyke::opaque::{Action, FlowKey, Message, MessageKind, parse_deadlines};
use endivedyke::{RECOVERY_RAMP_MS, STALL_CHECK_INTERVAL_MS, STALL_PROBE_TIMEOUT_MS};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, CALLED, FIN, PacketSpec, RST, acceptance, flow, from_backend,
    from_caller, host, opener, reaches_backend, refusal, request, resets, returned_packet,
};

const REQUEST_BYTES: usize = 40;
const ANSWER_BYTES: usize = 60;
/// The slots of the backend server.
const SLOTS: u32 = 4;
/// Ports of callers whose flows have no request when the backend server begins to hang.
const IDLE: std::ops::Range<u16> = 100..140;
/// Ports of callers whose requests hang.
const HUNG: std::ops::Range<u16> = 200..204;

/// The caller's side of an open flow.
struct Caller {
    key: FlowKey,
    /// The sequence number of its next byte.
    next: u32,
    /// The sequence number of the backend server's next byte.
    expects: u32,
}

impl Caller {
    fn open(agent: &mut AgentUnderTest, port: u16) -> Self {
        let key = flow(port);
        agent.deliver(&opener(&key, 0));
        agent.deliver_from_backend(acceptance(&key, 500));
        Self {
            key,
            next: 101,
            expects: 501,
        }
    }

    fn send(&mut self, agent: &mut AgentUnderTest, flags: u8, data_bytes: usize) -> Vec<Action> {
        let spec = PacketSpec {
            flags: ACK | flags,
            sequence: self.next,
            acknowledgement: self.expects,
            data_bytes,
        };
        self.next += data_bytes as u32;
        agent.deliver(&from_caller(&self.key, spec))
    }

    fn request(&mut self, agent: &mut AgentUnderTest) {
        assert!(reaches_backend(&self.send(agent, 0, REQUEST_BYTES)));
    }

    fn acknowledge(&mut self, agent: &mut AgentUnderTest) {
        self.send(agent, 0, 0);
    }

    fn answer(&mut self, data_bytes: usize) -> Vec<u8> {
        let spec = PacketSpec {
            flags: ACK,
            sequence: self.expects,
            acknowledgement: self.next,
            data_bytes,
        };
        self.expects += data_bytes as u32;
        from_backend(&self.key, spec)
    }

    /// Sends a request that is answered after ten milliseconds.
    fn exchange(&mut self, agent: &mut AgentUnderTest, answer_bytes: usize) {
        self.request(agent);
        agent.now_ms += 10;
        let answer = self.answer(answer_bytes);
        agent.deliver_from_backend(answer);
        self.acknowledge(agent);
    }
}

/// Returns an agent whose backend server has answered the requests on all its flows, and the
/// callers.
fn agent_after_requests(has_deadline: bool) -> (AgentUnderTest, Vec<Caller>) {
    let mut agent = AgentUnderTest::new(3, true);
    if has_deadline {
        let text = format!("{CALLED},300,1500\n");
        agent
            .directory
            .set_deadlines(parse_deadlines(&text).expect("sound"));
    }
    let mut callers = Vec::new();
    for port in IDLE {
        let mut caller = Caller::open(&mut agent, port);
        caller.exchange(&mut agent, ANSWER_BYTES);
        agent.check_for_stall();
        callers.push(caller);
    }
    (agent, callers)
}

/// Returns the caller of a flow that the agent learned from a packet of the backend server. No
/// opener may be taken during a stall.
fn caller_of_known_flow(agent: &mut AgentUnderTest, port: u16) -> Caller {
    let mut caller = Caller {
        key: flow(port),
        next: 101,
        expects: 501,
    };
    agent.deliver_from_backend(caller.answer(0));
    caller
}

/// Advances the time, with a request on a new flow every 50 ms that the backend server refuses
/// because its queue is full. Returns the flows that were reset.
fn pass_time(agent: &mut AgentUnderTest, for_ms: u64, first_port: u16) -> Vec<FlowKey> {
    let mut reset = Vec::new();
    let end_ms = agent.now_ms + for_ms;
    let mut ports = first_port..;
    while agent.now_ms < end_ms {
        let mut caller = caller_of_known_flow(agent, ports.next().expect("a port"));
        if reaches_backend(&caller.send(agent, 0, REQUEST_BYTES)) {
            let answer = refusal(caller.answer(ANSWER_BYTES));
            agent.deliver_from_backend(answer);
        } else {
            // The request is held back at the agent, and the caller leaves.
            caller.send(agent, RST, 0);
        }
        agent.now_ms += STALL_CHECK_INTERVAL_MS / 2;
        reset.extend(resets(&agent.check_for_stall()));
    }
    reset
}

/// Sends requests that are not answered, and returns their callers.
fn start_hanging_requests(agent: &mut AgentUnderTest) -> Vec<Caller> {
    let hung = HUNG.map(|port| {
        agent.now_ms += 1;
        let mut caller = caller_of_known_flow(agent, port);
        caller.request(agent);
        caller
    });
    hung.collect()
}

/// Stalls the backend server with some requests, and returns their callers and the flows that were
/// reset.
fn stall_backend(agent: &mut AgentUnderTest) -> (Vec<Caller>, Vec<FlowKey>) {
    let hung = start_hanging_requests(agent);
    let reset = pass_time(agent, 1_500, 1_000);
    (hung, reset)
}

/// Stalls the backend server until the agent resets the first flows, and returns these.
fn stall_until_first_reset(agent: &mut AgentUnderTest) -> Vec<FlowKey> {
    start_hanging_requests(agent);
    let mut resets = (1_000..1_100).map(|port| pass_time(agent, STALL_CHECK_INTERVAL_MS / 2, port));
    resets.find(|reset| !reset.is_empty()).expect("a stall")
}

#[test]
fn a_stall_resets_flows_without_a_request_and_keeps_the_others() {
    let (mut agent, callers) = agent_after_requests(true);
    let (hung, mut reset) = stall_backend(&mut agent);
    reset.sort_unstable();
    let idle: Vec<FlowKey> = callers.iter().map(|caller| caller.key).collect();
    let of_idle: Vec<FlowKey> = reset
        .iter()
        .copied()
        .filter(|key| idle.contains(key))
        .collect();
    assert_eq!(of_idle, idle, "each idle flow is reset once");
    assert!(hung.iter().all(|caller| !reset.contains(&caller.key)));
}

#[test]
fn a_stall_resets_no_flows_of_callers_with_time_for_further_attempts() {
    let (mut agent, _) = agent_after_requests(false);
    let (_, reset) = stall_backend(&mut agent);
    assert!(reset.is_empty());
    let actions = agent.deliver(&opener(&flow(1), 0));
    // The backend server also fails requests, so an opener is let through every 200 ms.
    let taken = reaches_backend(&actions);
    agent.now_ms += 200;
    let next = reaches_backend(&agent.deliver(&opener(&flow(2), 0)));
    assert!(taken || next, "probed as a failing server");
}

#[test]
fn resets_come_in_bounded_batches() {
    let (mut agent, callers) = agent_after_requests(true);
    let first = stall_until_first_reset(&mut agent).len();
    assert!(first < callers.len(), "{first} of {}", callers.len());
}

#[test]
fn a_stall_resets_no_flows_whose_state_is_uncertain() {
    let (mut agent, _) = agent_after_requests(true);
    let mut unacknowledged = Caller::open(&mut agent, 10);
    unacknowledged.exchange(&mut agent, ANSWER_BYTES);
    let lost = unacknowledged.answer(ANSWER_BYTES);
    agent.deliver_from_backend(lost);

    let mut unfinished = Caller::open(&mut agent, 11);
    unfinished.exchange(&mut agent, 1_200);

    let mut of_several_packets = Caller::open(&mut agent, 12);
    of_several_packets.request(&mut agent);
    of_several_packets.exchange(&mut agent, ANSWER_BYTES);

    let unused = Caller::open(&mut agent, 13);

    let mut ended = Caller::open(&mut agent, 14);
    ended.exchange(&mut agent, ANSWER_BYTES);
    let end = PacketSpec {
        flags: ACK | FIN,
        sequence: ended.expects,
        ..PacketSpec::default()
    };
    agent.deliver_from_backend(from_backend(&ended.key, end));

    let (_, reset) = stall_backend(&mut agent);
    assert!(!reset.is_empty());
    for caller in [
        unacknowledged,
        unfinished,
        of_several_packets,
        unused,
        ended,
    ] {
        assert!(!reset.contains(&caller.key), "{}", caller.key);
    }
}

#[test]
fn one_answer_ends_the_resets_of_a_stall() {
    let (mut agent, _) = agent_after_requests(true);
    stall_until_first_reset(&mut agent);
    let mut caller = Caller {
        key: flow(HUNG.start),
        next: 101 + REQUEST_BYTES as u32,
        expects: 501,
    };
    let answer = caller.answer(ANSWER_BYTES);
    agent.deliver_from_backend(answer);
    assert!(resets(&agent.check_for_stall()).is_empty());
    assert!(pass_time(&mut agent, 500, 2_000).is_empty());
}

#[test]
fn a_flow_is_still_served_if_its_caller_missed_the_reset() {
    let (mut agent, mut callers) = agent_after_requests(true);
    stall_backend(&mut agent);
    assert!(reaches_backend(&callers[0].send(
        &mut agent,
        0,
        REQUEST_BYTES
    )));
    let answer = callers[0].answer(ANSWER_BYTES);
    let actions = agent.deliver_from_backend(answer);
    assert!(matches!(actions[..], [Action::ToCaller(..)]));
}

#[test]
fn a_stalled_backend_server_is_probed_with_one_opener_at_a_time() {
    let (mut agent, _) = agent_after_requests(true);
    stall_backend(&mut agent);
    let mut taken = Vec::new();
    for port in 3_000..3_200 {
        agent.now_ms += 10;
        agent.check_for_stall();
        let actions = agent.deliver(&opener(&flow(port), 0));
        if reaches_backend(&actions) {
            agent.deliver_from_backend(acceptance(&flow(port), 500));
            agent.deliver(&request(&flow(port), 501));
            taken.push(port);
        }
    }
    let most = 2_000 / STALL_PROBE_TIMEOUT_MS as usize;
    assert!((1..=most).contains(&taken.len()), "{}", taken.len());
}

#[test]
fn a_stalled_agent_takes_an_opener_that_two_agents_handed_on() {
    let (mut agent, _) = agent_after_requests(true);
    stall_backend(&mut agent);
    let mut message = Message::new(MessageKind::HandOn);
    for (hops, is_taken) in [(0, true), (1, false), (2, true)] {
        message.hops = hops;
        let port = 4_000 + u16::from(hops);
        let actions = agent.deliver_message(host(2), message, &opener(&flow(port), 0));
        assert_eq!(
            reaches_backend(&actions),
            is_taken,
            "after {hops} hops; the first opener is a probe"
        );
    }
}

#[test]
fn room_grows_gradually_after_a_stall() {
    let (mut agent, _) = agent_after_requests(true);
    let mut hung = start_hanging_requests(&mut agent);
    for port in 1_000..1_024 {
        let mut caller = caller_of_known_flow(&mut agent, port);
        caller.request(&mut agent);
        hung.push(caller);
        agent.now_ms += STALL_CHECK_INTERVAL_MS / 2;
        agent.check_for_stall();
    }
    for caller in &mut hung {
        let answer = caller.answer(ANSWER_BYTES);
        agent.deliver_from_backend(answer);
    }
    let end_ms = agent.now_ms;
    let mut ports = 5_000..;
    let steps = [0, RECOVERY_RAMP_MS / 2, RECOVERY_RAMP_MS].map(|passed_ms| {
        agent.now_ms = end_ms + passed_ms;
        for port in ports.by_ref().take(20) {
            agent.deliver(&opener(&flow(port), 0));
            agent.deliver_from_backend(acceptance(&flow(port), 500));
            agent.deliver(&request(&flow(port), 501));
        }
        agent.flow_agent.busy_requests()
    });
    let [none, half, whole] = steps;
    assert_eq!(none, 1, "{steps:?}");
    assert!(none < half && half < whole, "{steps:?}");
    assert!(half.abs_diff(whole / 2) <= 1, "{steps:?}");
    assert!(whole >= SLOTS, "{steps:?}");
}

#[test]
fn load_and_failures_of_a_stall_do_not_keep_openers_away_after_it() {
    let (mut agent, _) = agent_after_requests(true);
    agent.sample_load();
    let (mut hung, _) = stall_backend(&mut agent);
    assert!(
        pass_time(&mut agent, 2_000, 2_000).is_empty(),
        "all were reset"
    );
    agent.sample_load();
    for caller in &mut hung {
        let answer = caller.answer(ANSWER_BYTES);
        agent.deliver_from_backend(answer);
    }
    agent.now_ms += RECOVERY_RAMP_MS;
    agent.sample_load();
    let mut message = Message::new(MessageKind::Deliver);
    message.host = BALANCER;
    message.load_permille = 300;
    for port in 6_000..6_003 {
        let actions = agent.deliver_message(BALANCER, message, &opener(&flow(port), 0));
        assert!(reaches_backend(&actions), "{port}");
    }
}

#[test]
fn a_backend_server_that_returns_packets_is_not_stalled() {
    let (mut agent, _) = agent_after_requests(true);
    let mut reset = Vec::new();
    for port in 1_000..1_060 {
        let mut caller = caller_of_known_flow(&mut agent, port);
        let spec = PacketSpec {
            flags: ACK,
            sequence: caller.next,
            acknowledgement: caller.expects,
            data_bytes: REQUEST_BYTES,
        };
        caller.request(&mut agent);
        agent.deliver_from_backend(returned_packet(from_caller(&caller.key, spec)));
        agent.now_ms += STALL_CHECK_INTERVAL_MS / 2;
        reset.extend(resets(&agent.check_for_stall()));
    }
    assert!(reset.is_empty());
}

#[test]
fn a_new_lifetime_is_not_stalled() {
    let (mut agent, _) = agent_after_requests(true);
    stall_backend(&mut agent);
    agent.refuse_connection();
    agent.now_ms += 200;
    agent.refuse_connection();
    assert!(!agent.flow_agent.is_backend_up());
    agent.flow_agent.handle_backend_listening(agent.now_ms);
    assert!(resets(&agent.check_for_stall()).is_empty());
    assert!(reaches_backend(&agent.deliver(&opener(&flow(1), 0))));
}
