//! Groups agents and service addresses into services, by the openers that each agent took.

use endivedyke::LogLine;

/// The service of an address for which no agent took an opener.
const UNSERVED: &str = "unserved";

/// The services in the log lines. All addresses for which one agent took openers belong to one
/// service, which is named by the first of them.
#[derive(Debug)]
pub(crate) struct Services<'a> {
    /// Pairs of a service address and the first address of its service, sorted.
    addresses: Vec<(&'a str, &'a str)>,
    /// Pairs of an agent and an address for which it took openers, sorted.
    agents: Vec<(&'a str, &'a str)>,
}

impl<'a> Services<'a> {
    /// Collects the services from log lines.
    pub(crate) fn from_lines(lines: &[&LogLine<'a>]) -> Self {
        let taken = lines.iter().filter(|line| line.event == "opener_taken");
        let mut agents: Vec<(&str, &str)> = taken
            .filter_map(|line| Some((line.process, service_address(line.field("flow")?))))
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
        services.merge_addresses_of_agents();
        services
    }

    /// Merges the services of all addresses of each agent.
    fn merge_addresses_of_agents(&mut self) {
        for pair in self.agents.windows(2) {
            let [(agent, address), (next_agent, next_address)] = pair else {
                continue;
            };
            if agent != next_agent {
                continue;
            }
            let (one, other) = (
                service_of(&self.addresses, address),
                service_of(&self.addresses, next_address),
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
        service_of(&self.addresses, service_address(flow))
    }

    /// Returns the service of an agent, or an empty string if the agent took no opener.
    pub(crate) fn of_agent(&self, agent: &str) -> &'a str {
        let index = self.agents.partition_point(|(known, _)| *known < agent);
        let known = self.agents.get(index).filter(|(known, _)| *known == agent);
        known.map_or("", |(_, address)| service_of(&self.addresses, address))
    }
}

/// Returns the service of an address, which is the first address of that service.
fn service_of<'a>(addresses: &[(&'a str, &'a str)], address: &str) -> &'a str {
    let found = addresses.binary_search_by_key(&address, |(known, _)| *known);
    found.map_or(UNSERVED, |index| addresses[index].1)
}

/// Returns the service address of a flow, which follows the address of the caller.
fn service_address(flow: &str) -> &str {
    flow.split_once('>').map_or(flow, |(_, address)| address)
}
