//! Which agents and called addresses belong to one service, by what agents took.

use endivedyke::LogLine;

/// What stands for the service of an address whose openers nobody took.
const UNSERVED: &str = "unserved";

/// The services that lines show: addresses whose openers one agent took belong to one service.
#[derive(Debug)]
pub(crate) struct Services<'a> {
    /// Called addresses with the first address of their service.
    addresses: Vec<(&'a str, &'a str)>,
    /// Agents with an address whose openers they took.
    agents: Vec<(&'a str, &'a str)>,
}

impl<'a> Services<'a> {
    /// Gathers the services from lines.
    pub(crate) fn of(lines: &[&LogLine<'a>]) -> Self {
        let taken = lines.iter().filter(|line| line.event == "opener_taken");
        let mut agents: Vec<(&str, &str)> = taken
            .filter_map(|line| Some((line.process, called(line.field("flow")?))))
            .collect();
        agents.sort_unstable();
        agents.dedup();
        let mut addresses: Vec<(&str, &str)> = agents
            .iter()
            .map(|(_, address)| (*address, *address))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        let mut services = Self { addresses, agents };
        services.join();
        services
    }

    /// Gives the addresses of each agent one service.
    fn join(&mut self) {
        for pair in self.agents.windows(2) {
            let [(agent, address), (next_agent, next_address)] = pair else {
                continue;
            };
            if agent != next_agent {
                continue;
            }
            let (one, other) = (
                first_of(&self.addresses, address),
                first_of(&self.addresses, next_address),
            );
            let (first, second) = (one.min(other), one.max(other));
            for (_, service) in &mut self.addresses {
                if *service == second {
                    *service = first;
                }
            }
        }
    }

    /// Returns the service of a flow.
    pub(crate) fn of_flow(&self, flow: &str) -> &'a str {
        first_of(&self.addresses, called(flow))
    }

    /// Returns the service of an agent; empty where it took no opener.
    pub(crate) fn of_agent(&self, agent: &str) -> &'a str {
        let index = self.agents.partition_point(|(known, _)| *known < agent);
        let known = self.agents.get(index).filter(|(known, _)| *known == agent);
        known.map_or("", |(_, address)| first_of(&self.addresses, address))
    }
}

/// Returns the first address of the service of an address.
fn first_of<'a>(addresses: &[(&'a str, &'a str)], address: &str) -> &'a str {
    let found = addresses.binary_search_by_key(&address, |(known, _)| *known);
    found.map_or(UNSERVED, |index| addresses[index].1)
}

/// Returns the called address of a flow, which stands behind its caller's.
fn called(flow: &str) -> &str {
    flow.split_once('>').map_or(flow, |(_, called)| called)
}
