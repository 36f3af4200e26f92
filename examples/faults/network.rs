//! Faults in force and what they do to messages.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::schedule::{ALL_HOSTS, Fault, SERVERS, Schedule};

/// Node of the store and the host list.
pub const STORE: usize = ALL_HOSTS + SERVERS;

/// Node of a backend server.
pub fn server_node(server: usize) -> usize {
    ALL_HOSTS + server
}

/// The faults of a schedule, those in force now, and the random numbers of the network.
pub struct Network {
    pub random: Pcg64Mcg,
    faults: Vec<Fault>,
    active: Vec<bool>,
}

impl Network {
    /// A network without faults in force.
    pub fn new(random: Pcg64Mcg, schedule: &Schedule) -> Self {
        let faults = schedule.faults.iter();
        let faults: Vec<Fault> = faults.map(|(_, _, fault)| fault.clone()).collect();
        Self {
            random,
            active: vec![false; faults.len()],
            faults,
        }
    }

    /// Puts a fault in force or ends it.
    pub fn set(&mut self, fault: usize, active: bool) -> Fault {
        self.active[fault] = active;
        self.faults[fault].clone()
    }

    /// Whether a fault of this kind is in force.
    pub fn any(&self, matching: impl Fn(&Fault) -> bool) -> bool {
        self.in_force().any(matching)
    }

    /// Whether messages from one node to another are lost in a partition.
    pub fn cut(&self, from: usize, to: usize) -> bool {
        self.any(|fault| {
            let Fault::Cut { mask, one_way } = fault else {
                return false;
            };
            let from_inside = mask >> from & 1 == 1;
            let to_inside = mask >> to & 1 == 1;
            from_inside != to_inside && (from_inside || !one_way)
        })
    }

    /// Delays in microseconds of the copies of a message that arrive; none if it is lost.
    pub fn transit(&mut self, from: usize, to: usize) -> Vec<u64> {
        if self.cut(from, to) {
            return Vec::new();
        }
        let mut copies = 1;
        let mut longest_us = 3_000;
        let noises: Vec<(u32, u32, u64)> = self.in_force().filter_map(noise).collect();
        for (lost_permille, doubled_permille, delay_ms) in noises {
            if self.random.random_ratio(lost_permille, 1_000) {
                return Vec::new();
            }
            copies += u32::from(self.random.random_ratio(doubled_permille, 1_000));
            if self.random.random_ratio(1, 4) {
                longest_us = longest_us.max(delay_ms * 1_000);
            }
        }
        let random = &mut self.random;
        (0..copies)
            .map(|_| random.random_range(200..longest_us))
            .collect()
    }

    /// Additional delay of a store call in microseconds.
    pub fn store_delay_us(&mut self) -> u64 {
        let slow = self.any(|fault| matches!(fault, Fault::StoreSlow));
        let longest_us = if slow { 3_000_000 } else { 4_000 };
        self.random.random_range(500..longest_us)
    }

    fn in_force(&self) -> impl Iterator<Item = &Fault> {
        let faults = self.faults.iter().zip(&self.active);
        faults
            .filter(|(_, active)| **active)
            .map(|(fault, _)| fault)
    }
}

fn noise(fault: &Fault) -> Option<(u32, u32, u64)> {
    let Fault::Noise {
        lost_permille,
        doubled_permille,
        delay_ms,
    } = fault
    else {
        return None;
    };
    Some((*lost_permille, *doubled_permille, *delay_ms))
}
