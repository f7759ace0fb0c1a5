//! The load coordinator of one gateway, as a requester and as the holder of shards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::{
    CopyKey, Input, LoadMessage, Output, ANSWER_TIMEOUT, ASSIGNED_LOAD_TIMEOUT, MAX_COPIES,
    RESIDENT_WINDOW, SHARD_LEASE_PREFIX, SILENT_HOLDER_BACKOFF,
};
use crate::api::{FunctionId, Micros};
use crate::lease::LeaseName;

/// The waiting orders for one copy.
#[derive(Clone, Debug)]
struct WaitingOrders {
    numbers: BTreeSet<u64>,
    /// When the orders are sent without coordination.
    deadline: Micros,
    /// Whether the holder has been asked and has not answered yet.
    awaiting_answer: bool,
}

/// The assignment of a load to a gateway.
#[derive(Clone, Debug)]
struct Assignment {
    gateway: Arc<str>,
    expires_at: Micros,
}

/// The number of resident copies of a function at a worker.
#[derive(Clone, Debug)]
struct ResidentCopies {
    count: u32,
    expires_at: Micros,
}

/// Delays the load orders of one gateway and coordinates them with other gateways.
#[derive(Clone, Debug)]
pub struct LoadCoordinator {
    own_name: Arc<str>,
    shards: Vec<LeaseName>,
    /// Shards whose lease this gateway holds.
    held_shards: BTreeSet<LeaseName>,
    /// Shards whose lease any gateway holds.
    shards_with_holder: BTreeSet<LeaseName>,
    waiting: BTreeMap<CopyKey, WaitingOrders>,
    /// Shards whose holder did not answer, and when the holder may be asked again.
    silent_holders: BTreeMap<LeaseName, Micros>,
    /// Orders whose load the holder has assigned to this gateway, by order number.
    assigned_orders: BTreeMap<u64, CopyKey>,
    /// Assignments announced by the holder.
    assignments: BTreeMap<CopyKey, Assignment>,
    /// Resident copies announced by the holder.
    resident: BTreeMap<CopyKey, ResidentCopies>,
    /// The number of orders that were not sent because a copy was already resident.
    pub avoided_orders: u64,
    outputs: VecDeque<Output>,
}

impl LoadCoordinator {
    /// Creates a coordinator for the shards among the configured leases; `None` if there are none.
    pub fn new(own_name: Arc<str>, leases: &BTreeSet<LeaseName>) -> Option<LoadCoordinator> {
        let shards: Vec<LeaseName> = leases
            .iter()
            .filter(|lease| lease.starts_with(SHARD_LEASE_PREFIX))
            .cloned()
            .collect();
        if shards.is_empty() {
            return None;
        }
        Some(LoadCoordinator {
            own_name,
            shards,
            held_shards: BTreeSet::new(),
            shards_with_holder: BTreeSet::new(),
            waiting: BTreeMap::new(),
            silent_holders: BTreeMap::new(),
            assigned_orders: BTreeMap::new(),
            assignments: BTreeMap::new(),
            resident: BTreeMap::new(),
            avoided_orders: 0,
            outputs: VecDeque::new(),
        })
    }

    /// The name of this gateway.
    #[cfg(test)]
    pub(super) fn own_name(&self) -> &Arc<str> {
        &self.own_name
    }

    /// The configured shards.
    #[cfg(test)]
    pub(super) fn shards(&self) -> &[LeaseName] {
        &self.shards
    }

    /// The shard of a function. Gateways with the same configuration compute the same shard.
    pub fn shard(&self, function: FunctionId) -> &LeaseName {
        let mixed = function.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let index = mixed % self.shards.len() as u64;
        &self.shards[index as usize]
    }

    /// When [`Input::Tick`] is due, if ever.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waiting.values().map(|orders| orders.deadline).min()
    }

    /// The next action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Order(number, copy) => self.on_order(now, number, copy),
            Input::Cancel(number) => self.cancel(number),
            Input::Ended(number, copies) => {
                if let Some(copy) = self.assigned_orders.remove(&number) {
                    let (worker, function) = (copy.worker.0, copy.function.0);
                    let ended = LoadMessage::Ended(worker, function, copies);
                    self.send_to_holder(now, ended);
                }
            }
            Input::LeaseChanged(shard, held) => set_member(&mut self.held_shards, shard, held),
            Input::HolderKnown(shard, known) => {
                set_member(&mut self.shards_with_holder, shard, known);
            }
            Input::ReportReceived(from, message) => {
                let shard = self.shard(message.copy().function);
                if self.held_shards.contains(shard) {
                    self.on_report(now, &from, &message);
                }
            }
            Input::Announced(message) => self.on_announcement(now, message),
            Input::Tick => {}
        }
        self.load_overdue(now);
    }

    fn cancel(&mut self, number: u64) {
        self.waiting.retain(|_, orders| {
            orders.numbers.remove(&number);
            !orders.numbers.is_empty()
        });
        self.assigned_orders.remove(&number);
    }

    /// Sends the orders whose deadline has passed.
    fn load_overdue(&mut self, now: Micros) {
        let overdue: Vec<(CopyKey, bool)> = self
            .waiting
            .iter()
            .filter(|(_, orders)| now >= orders.deadline)
            .map(|(copy, orders)| (*copy, orders.awaiting_answer))
            .collect();
        for (copy, awaiting_answer) in overdue {
            if awaiting_answer {
                // Without a quorum, or with an unreachable holder, orders continue without coordination.
                let shard = self.shard(copy.function).clone();
                let retry_at = now + SILENT_HOLDER_BACKOFF;
                self.silent_holders.insert(shard, retry_at);
            }
            self.load_waiting(copy);
        }
    }

    fn on_order(&mut self, now: Micros, number: u64, copy: CopyKey) {
        self.assignments
            .retain(|_, assignment| now < assignment.expires_at);
        self.resident.retain(|_, copies| now < copies.expires_at);
        let shard = self.shard(copy.function);
        let is_silent = self.silent_holders.get(shard).is_some_and(|at| now < *at);
        let has_holder = self.shards_with_holder.contains(shard);
        if !has_holder || is_silent || self.waiting.len() >= MAX_COPIES {
            return self.outputs.push_back(Output::Load(number));
        }
        if let Some(copies) = self.resident.get(&copy) {
            let output = Output::AlreadyResident(number, copies.count);
            self.avoided_orders += 1;
            return self.outputs.push_back(output);
        }
        self.delay_order(now, number, copy);
    }

    /// Delays an order until the assigned gateway has loaded the copy, or until the holder answers.
    fn delay_order(&mut self, now: Micros, number: u64, copy: CopyKey) {
        let assigned_until = self
            .assignments
            .get(&copy)
            .filter(|assignment| assignment.gateway != self.own_name)
            .map(|assignment| assignment.expires_at);
        let is_first = !self.waiting.contains_key(&copy);
        let new_orders = || WaitingOrders {
            numbers: BTreeSet::new(),
            deadline: assigned_until.unwrap_or(now + ANSWER_TIMEOUT),
            awaiting_answer: assigned_until.is_none(),
        };
        let orders = self.waiting.entry(copy).or_insert_with(new_orders);
        orders.numbers.insert(number);
        if is_first && assigned_until.is_none() {
            let request = LoadMessage::Request(copy.worker.0, copy.function.0);
            self.send_to_holder(now, request);
        }
    }

    fn send_to_holder(&mut self, now: Micros, message: LoadMessage) {
        let shard = self.shard(message.copy().function).clone();
        if self.held_shards.contains(&shard) {
            let own_name = self.own_name.clone();
            self.on_report(now, &own_name, &message);
        } else {
            self.outputs.push_back(Output::Report(shard, message));
        }
    }

    /// Handles a message to the holder: answers a request, or announces the end of a load.
    fn on_report(&mut self, now: Micros, from: &Arc<str>, message: &LoadMessage) {
        match *message {
            LoadMessage::Request(worker, function) => {
                let answer = self.answer_request(now, from, message.copy());
                let announcement = match answer {
                    RequestAnswer::Resident(count) => {
                        LoadMessage::Resident(worker, function, count)
                    }
                    RequestAnswer::Assigned(gateway) => {
                        LoadMessage::Assigned(worker, function, gateway)
                    }
                };
                self.announce(now, announcement);
            }
            // If no copy is resident, the waiting gateways send their own orders.
            LoadMessage::Ended(worker, function, copies) => {
                self.announce(now, LoadMessage::Resident(worker, function, copies));
            }
            // Only holders send these messages.
            LoadMessage::Assigned(..) | LoadMessage::Resident(..) => {}
        }
    }

    /// Assigns a load to the gateway that asks first. A second request comes from a gateway that has not received the
    /// assignment yet, or from the assigned gateway, for another order.
    fn answer_request(&self, now: Micros, from: &Arc<str>, copy: CopyKey) -> RequestAnswer {
        let resident = self.resident.get(&copy);
        if let Some(copies) = resident.filter(|copies| now < copies.expires_at) {
            return RequestAnswer::Resident(copies.count);
        }
        let assignment = self.assignments.get(&copy);
        let assigned = assignment.filter(|assignment| now < assignment.expires_at);
        let gateway = assigned.map_or(from, |assignment| &assignment.gateway);
        RequestAnswer::Assigned(gateway.clone())
    }

    fn announce(&mut self, now: Micros, message: LoadMessage) {
        let shard = self.shard(message.copy().function).clone();
        let output = Output::Announce(shard, message.clone());
        self.outputs.push_back(output);
        self.on_announcement(now, message);
    }

    fn on_announcement(&mut self, now: Micros, message: LoadMessage) {
        let copy = message.copy();
        let shard = self.shard(copy.function).clone();
        self.silent_holders.remove(&shard);
        match message {
            LoadMessage::Assigned(_, _, gateway) => self.on_assigned(now, copy, gateway),
            LoadMessage::Resident(_, _, count) => self.on_resident(now, copy, count),
            LoadMessage::Request(..) | LoadMessage::Ended(..) => {}
        }
    }

    fn on_assigned(&mut self, now: Micros, copy: CopyKey, gateway: Arc<str>) {
        // A repeated assignment does not extend the wait.
        let expires_at = self
            .assignments
            .get(&copy)
            .filter(|assignment| assignment.gateway == gateway)
            .map_or(now + ASSIGNED_LOAD_TIMEOUT, |assignment| {
                assignment.expires_at
            });
        let is_own = gateway == self.own_name;
        if self.assignments.len() < MAX_COPIES {
            let assignment = Assignment {
                gateway,
                expires_at,
            };
            self.assignments.insert(copy, assignment);
        }
        if is_own {
            self.load_assigned(copy);
        } else if let Some(orders) = self.waiting.get_mut(&copy) {
            orders.deadline = expires_at;
            orders.awaiting_answer = false;
        }
    }

    fn on_resident(&mut self, now: Micros, copy: CopyKey, count: u32) {
        self.assignments.remove(&copy);
        if count == 0 {
            return self.load_waiting(copy);
        }
        if self.resident.len() < MAX_COPIES {
            let copies = ResidentCopies {
                count,
                expires_at: now + RESIDENT_WINDOW,
            };
            self.resident.insert(copy, copies);
        }
        for number in self.take_waiting(copy) {
            self.avoided_orders += 1;
            let output = Output::AlreadyResident(number, count);
            self.outputs.push_back(output);
        }
    }

    fn take_waiting(&mut self, copy: CopyKey) -> BTreeSet<u64> {
        let orders = self.waiting.remove(&copy);
        orders.map(|orders| orders.numbers).unwrap_or_default()
    }

    /// Sends the waiting orders without an assignment.
    fn load_waiting(&mut self, copy: CopyKey) {
        for number in self.take_waiting(copy) {
            self.outputs.push_back(Output::Load(number));
        }
    }

    /// Sends the waiting orders whose load is assigned to this gateway. The holder is notified when they end.
    fn load_assigned(&mut self, copy: CopyKey) {
        for number in self.take_waiting(copy) {
            if self.assigned_orders.len() < MAX_COPIES {
                self.assigned_orders.insert(number, copy);
            }
            self.outputs.push_back(Output::Load(number));
        }
    }
}

/// The holder's answer to a request.
enum RequestAnswer {
    Resident(u32),
    Assigned(Arc<str>),
}

fn set_member(shards: &mut BTreeSet<LeaseName>, shard: LeaseName, is_member: bool) {
    if is_member {
        shards.insert(shard);
    } else {
        shards.remove(&shard);
    }
}
