//! The admission queue: bounded, with deadlines, and fair between services.
//!
//! Services are scheduled by deficit round robin (Shreedhar and Varghese, 1995) with a cost of one per
//! request: in each round a service may send as many requests as its weight.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stairward_types::{ServiceName, Time};

use super::message::{ConnectionRequest, RequestId};

/// The waiting requests of one service, in order of arrival.
#[derive(Debug, Default)]
struct ServiceQueue {
    requests: VecDeque<ConnectionRequest>,
    weight: u32,
    /// Requests that the service may still send in the current round.
    deficit: u32,
}

/// Admissible requests that wait for a connection or a slot.
#[derive(Debug, Default)]
pub(super) struct AdmissionQueue {
    services: BTreeMap<ServiceName, ServiceQueue>,
    /// Services with waiting requests, in round-robin order.
    turns: VecDeque<ServiceName>,
    deadlines: BTreeSet<(Time, RequestId)>,
}

impl AdmissionQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Number of requests that would run before a new one of this service, including the fair share of
    /// other services.
    pub(super) fn ahead_of(&self, service: &ServiceName, weight: u32) -> usize {
        let own = self.services.get(service);
        let own_waiting = own.map_or(0, |queue| queue.requests.len());
        let rounds = own_waiting / weight.max(1) as usize + 1;
        let others = self
            .services
            .iter()
            .filter(|(name, _)| *name != service)
            .map(|(_, queue)| queue.requests.len().min(rounds * queue.weight as usize));
        own_waiting + others.sum::<usize>()
    }

    /// Adds a request behind the others of its service.
    pub(super) fn push(&mut self, request: ConnectionRequest) {
        self.deadlines.insert((request.deadline, request.request));
        let queue = self.services.entry(request.service.clone()).or_default();
        queue.weight = request.weight.max(1);
        if queue.requests.is_empty() {
            self.turns.push_back(request.service.clone());
        }
        queue.requests.push_back(request);
    }

    /// Removes the next request in round-robin order.
    pub(super) fn pop(&mut self) -> Option<ConnectionRequest> {
        let service = self.turns.front()?.clone();
        let queue = self.services.get_mut(&service)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
        }
        let request = queue.requests.pop_front()?;
        queue.deficit -= 1;
        let turn_ends = queue.deficit == 0 || queue.requests.is_empty();
        if turn_ends {
            self.end_turn(&service);
        }
        self.deadlines.remove(&(request.deadline, request.request));
        Some(request)
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, wanted: RequestId) -> Option<ConnectionRequest> {
        let (service, place) = self.services.iter().find_map(|(service, queue)| {
            let place = queue.requests.iter().position(|r| r.request == wanted)?;
            Some((service.clone(), place))
        })?;
        self.remove_at(&service, place)
    }

    /// Removes a request whose deadline has passed.
    pub(super) fn remove_expired(&mut self, now: Time) -> Option<ConnectionRequest> {
        let (deadline, request) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(request)
    }

    /// Removes all requests.
    pub(super) fn remove_all(&mut self) -> Vec<ConnectionRequest> {
        let services = std::mem::take(self).services;
        services
            .into_values()
            .flat_map(|queue| queue.requests)
            .collect()
    }

    /// Makes room for a request of `service` by removing the newest request of the service with the most
    /// waiting requests relative to its weight; `None` if that is `service` itself.
    pub(super) fn evict_for(
        &mut self,
        service: &ServiceName,
        weight: u32,
    ) -> Option<ConnectionRequest> {
        let load = |waiting: usize, weight: u32| waiting * 1_000 / weight.max(1) as usize;
        let own_waiting = self.services.get(service).map_or(0, |q| q.requests.len());
        let own_load = load(own_waiting + 1, weight);
        let (longest, _) = self
            .services
            .iter()
            .filter(|(name, _)| *name != service)
            .map(|(name, queue)| (name.clone(), load(queue.requests.len(), queue.weight)))
            .filter(|(_, load)| *load > own_load)
            .max_by_key(|(_, load)| *load)?;
        let last = self.services.get(&longest)?.requests.len().checked_sub(1)?;
        self.remove_at(&longest, last)
    }

    /// The earliest deadline of a waiting request.
    pub(super) fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn remove_at(&mut self, service: &ServiceName, place: usize) -> Option<ConnectionRequest> {
        let queue = self.services.get_mut(service)?;
        let request = queue.requests.remove(place)?;
        if queue.requests.is_empty() {
            self.turns.retain(|name| name != service);
            self.services.remove(service);
        }
        self.deadlines.remove(&(request.deadline, request.request));
        Some(request)
    }

    fn end_turn(&mut self, service: &ServiceName) {
        self.turns.pop_front();
        let Some(queue) = self.services.get_mut(service) else {
            return;
        };
        queue.deficit = 0;
        if queue.requests.is_empty() {
            self.services.remove(service);
        } else {
            self.turns.push_back(service.clone());
        }
    }
}
