//! What an agent does while its backend server takes requests and serves none.

use endivedyke::opaque::{Action, FlowKey, Message, MessageKind, parse_deadlines};
use endivedyke::{LOOK_MS, STALL_PROBE_MS, STALL_RAMP_MS};

use crate::builder::{
    ACK, AgentUnderTest, BALANCER, CALLED, FIN, PacketSpec, RST, acceptance, bounced, flow,
    from_backend, from_caller, host, opener, reaches_backend, refusal, request, resets,
};

const REQUEST_BYTES: usize = 40;
const ANSWER_BYTES: usize = 60;
/// The slots of the backend server.
const SLOTS: u32 = 4;
/// Ports of callers whose flows have no request when the backend server begins to hang.
const IDLE: std::ops::Range<u16> = 100..140;
/// Ports of callers whose requests hang.
const HUNG: std::ops::Range<u16> = 200..204;

/// A caller's end of an open flow.
struct Caller {
    key: FlowKey,
    /// The number of its next byte.
    next: u32,
    /// The number of the backend server's next byte.
    expects: u32,
}

impl Caller {
    fn open(agent: &mut AgentUnderTest, port: u16) -> Self {
        let key = flow(port);
        agent.deliver(&opener(&key, 0));
        agent.backend(acceptance(&key, 500));
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

    /// Sends a request that is answered in ten milliseconds.
    fn exchange(&mut self, agent: &mut AgentUnderTest, answer_bytes: usize) {
        self.request(agent);
        agent.now_ms += 10;
        let answer = self.answer(answer_bytes);
        agent.backend(answer);
        self.acknowledge(agent);
    }
}

/// Returns an agent whose backend server has served requests, with flows without any.
fn served(has_deadline: bool) -> (AgentUnderTest, Vec<Caller>) {
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
        agent.look_for_stall();
        callers.push(caller);
    }
    (agent, callers)
}

/// Returns the caller of a flow that is known from its backend server's packets, since no opener may be taken.
fn known(agent: &mut AgentUnderTest, port: u16) -> Caller {
    let mut caller = Caller {
        key: flow(port),
        next: 101,
        expects: 501,
    };
    agent.backend(caller.answer(0));
    caller
}

/// Lets time pass, with a request of a flow of its own each 50 ms that the backend server refuses for its full queue,
/// and returns the flows that were reset.
fn pass(agent: &mut AgentUnderTest, for_ms: u64, first_port: u16) -> Vec<FlowKey> {
    let mut reset = Vec::new();
    let end_ms = agent.now_ms + for_ms;
    let mut ports = first_port..;
    while agent.now_ms < end_ms {
        let mut caller = known(agent, ports.next().expect("a port"));
        if reaches_backend(&caller.send(agent, 0, REQUEST_BYTES)) {
            let answer = refusal(caller.answer(ANSWER_BYTES));
            agent.backend(answer);
        } else {
            // It waits at the agent, and its caller leaves.
            caller.send(agent, RST, 0);
        }
        agent.now_ms += LOOK_MS / 2;
        reset.extend(resets(&agent.look_for_stall()));
    }
    reset
}

/// Hands over requests that are not answered.
fn begin_to_hang(agent: &mut AgentUnderTest) -> Vec<Caller> {
    let hung = HUNG.map(|port| {
        agent.now_ms += 1;
        let mut caller = known(agent, port);
        caller.request(agent);
        caller
    });
    hung.collect()
}

/// Lets the backend server hang with some requests, and returns their callers and the flows that were reset.
fn hang(agent: &mut AgentUnderTest) -> (Vec<Caller>, Vec<FlowKey>) {
    let hung = begin_to_hang(agent);
    let reset = pass(agent, 1_500, 1_000);
    (hung, reset)
}

/// Lets the backend server hang until the agent resets the first flows, and returns these.
fn hang_until_stalled(agent: &mut AgentUnderTest) -> Vec<FlowKey> {
    begin_to_hang(agent);
    let mut resets = (1_000..1_100).map(|port| pass(agent, LOOK_MS / 2, port));
    resets.find(|reset| !reset.is_empty()).expect("a stall")
}

#[test]
fn flows_without_a_request_are_reset_and_those_with_one_stay() {
    let (mut agent, callers) = served(true);
    let (hung, mut reset) = hang(&mut agent);
    reset.sort_unstable();
    let idle: Vec<FlowKey> = callers.iter().map(|caller| caller.key).collect();
    let of_idle: Vec<FlowKey> = reset
        .iter()
        .copied()
        .filter(|key| idle.contains(key))
        .collect();
    assert_eq!(of_idle, idle, "each once");
    assert!(hung.iter().all(|caller| !reset.contains(&caller.key)));
}

#[test]
fn callers_with_time_for_further_attempts_keep_their_flows() {
    let (mut agent, _) = served(false);
    let (_, reset) = hang(&mut agent);
    assert!(reset.is_empty());
    let actions = agent.deliver(&opener(&flow(1), 0));
    // It fails requests as well, so that one is tried each 200 ms.
    let taken = reaches_backend(&actions);
    agent.now_ms += 200;
    let next = reaches_backend(&agent.deliver(&opener(&flow(2), 0)));
    assert!(taken || next, "as without a deadline");
}

#[test]
fn resets_come_in_bounded_batches() {
    let (mut agent, callers) = served(true);
    let first = hang_until_stalled(&mut agent).len();
    assert!(first < callers.len(), "{first} of {}", callers.len());
}

#[test]
fn flows_whose_state_is_not_clear_stay() {
    let (mut agent, _) = served(true);
    let mut unacknowledged = Caller::open(&mut agent, 10);
    unacknowledged.exchange(&mut agent, ANSWER_BYTES);
    let lost = unacknowledged.answer(ANSWER_BYTES);
    agent.backend(lost);

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
    agent.backend(from_backend(&ended.key, end));

    let (_, reset) = hang(&mut agent);
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
fn nothing_is_reset_after_one_answer() {
    let (mut agent, _) = served(true);
    hang_until_stalled(&mut agent);
    let mut caller = Caller {
        key: flow(HUNG.start),
        next: 101 + REQUEST_BYTES as u32,
        expects: 501,
    };
    let answer = caller.answer(ANSWER_BYTES);
    agent.backend(answer);
    assert!(resets(&agent.look_for_stall()).is_empty());
    assert!(pass(&mut agent, 500, 2_000).is_empty());
}

#[test]
fn a_flow_that_was_reset_is_served_if_its_caller_missed_that() {
    let (mut agent, mut callers) = served(true);
    hang(&mut agent);
    assert!(reaches_backend(&callers[0].send(
        &mut agent,
        0,
        REQUEST_BYTES
    )));
    let answer = callers[0].answer(ANSWER_BYTES);
    let actions = agent.backend(answer);
    assert!(matches!(actions[..], [Action::ToCaller(..)]));
}

#[test]
fn one_opener_at_a_time_is_tried() {
    let (mut agent, _) = served(true);
    hang(&mut agent);
    let mut taken = Vec::new();
    for port in 3_000..3_200 {
        agent.now_ms += 10;
        agent.look_for_stall();
        let actions = agent.deliver(&opener(&flow(port), 0));
        if reaches_backend(&actions) {
            agent.backend(acceptance(&flow(port), 500));
            agent.deliver(&request(&flow(port), 501));
            taken.push(port);
        }
    }
    let most = 2_000 / STALL_PROBE_MS as usize;
    assert!((1..=most).contains(&taken.len()), "{}", taken.len());
}

#[test]
fn an_opener_that_two_agents_passed_on_is_taken_all_the_same() {
    let (mut agent, _) = served(true);
    hang(&mut agent);
    let mut message = Message::new(MessageKind::HandOn);
    for (hops, is_taken) in [(0, true), (1, false), (2, true)] {
        message.hops = hops;
        let port = 4_000 + u16::from(hops);
        let actions = agent.hear(host(2), message, &opener(&flow(port), 0));
        assert_eq!(
            reaches_backend(&actions),
            is_taken,
            "after {hops} hops, the first one is tried"
        );
    }
}

#[test]
fn room_grows_in_steps_after_a_stall() {
    let (mut agent, _) = served(true);
    let mut hung = begin_to_hang(&mut agent);
    for port in 1_000..1_024 {
        let mut caller = known(&mut agent, port);
        caller.request(&mut agent);
        hung.push(caller);
        agent.now_ms += LOOK_MS / 2;
        agent.look_for_stall();
    }
    for caller in &mut hung {
        let answer = caller.answer(ANSWER_BYTES);
        agent.backend(answer);
    }
    let end_ms = agent.now_ms;
    let mut ports = 5_000..;
    let steps = [0, STALL_RAMP_MS / 2, STALL_RAMP_MS].map(|passed_ms| {
        agent.now_ms = end_ms + passed_ms;
        for port in ports.by_ref().take(20) {
            agent.deliver(&opener(&flow(port), 0));
            agent.backend(acceptance(&flow(port), 500));
            agent.deliver(&request(&flow(port), 501));
        }
        agent.keeper.busy()
    });
    let [none, half, whole] = steps;
    assert_eq!(none, 1, "{steps:?}");
    assert!(none < half && half < whole, "{steps:?}");
    assert!(half.abs_diff(whole / 2) <= 1, "{steps:?}");
    assert!(whole >= SLOTS, "{steps:?}");
}

#[test]
fn load_and_failures_of_a_stall_do_not_keep_openers_away_after_it() {
    let (mut agent, _) = served(true);
    agent.look_at_load();
    let (mut hung, _) = hang(&mut agent);
    assert!(pass(&mut agent, 2_000, 2_000).is_empty(), "all were reset");
    agent.look_at_load();
    for caller in &mut hung {
        let answer = caller.answer(ANSWER_BYTES);
        agent.backend(answer);
    }
    agent.now_ms += STALL_RAMP_MS;
    agent.look_at_load();
    let mut message = Message::new(MessageKind::Deliver);
    message.host = BALANCER;
    message.load_permille = 300;
    for port in 6_000..6_003 {
        let actions = agent.hear(BALANCER, message, &opener(&flow(port), 0));
        assert!(reaches_backend(&actions), "{port}");
    }
}

#[test]
fn a_backend_server_that_returns_packets_does_not_stand_still() {
    let (mut agent, _) = served(true);
    let mut reset = Vec::new();
    for port in 1_000..1_060 {
        let mut caller = known(&mut agent, port);
        let spec = PacketSpec {
            flags: ACK,
            sequence: caller.next,
            acknowledgement: caller.expects,
            data_bytes: REQUEST_BYTES,
        };
        caller.request(&mut agent);
        agent.backend(bounced(from_caller(&caller.key, spec)));
        agent.now_ms += LOOK_MS / 2;
        reset.extend(resets(&agent.look_for_stall()));
    }
    assert!(reset.is_empty());
}

#[test]
fn a_new_lifetime_begins_without_a_stall() {
    let (mut agent, _) = served(true);
    hang(&mut agent);
    agent.refuse();
    agent.now_ms += 200;
    agent.refuse();
    assert!(!agent.keeper.backend_up());
    agent.keeper.backend_listens(agent.now_ms);
    assert!(resets(&agent.look_for_stall()).is_empty());
    assert!(reaches_backend(&agent.deliver(&opener(&flow(1), 0))));
}
