//! The seeded schedule: what is asked of the system, and which faults happen when.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// Entry hosts of the first failure domain, which has the backend servers.
pub const HOSTS: usize = 3;
/// Entry hosts of both failure domains.
pub const ALL_HOSTS: usize = 5;
/// Backend servers.
pub const SERVERS: usize = 8;
/// Shards of the first failure domain.
pub const SHARDS: usize = 2;
/// Teams with a service document.
pub const TEAMS: [&str; 3] = ["agro", "frio", "porto"];
/// Faults start before this time and end at most 30 s later.
const FAULTS_END_US: u64 = 60 * SECOND_US;
/// All faults have ended by now.
pub const HEALED_US: u64 = 95 * SECOND_US;
/// One second of real time.
pub const SECOND_US: u64 = 1_000_000;

/// A fault, in force from its start to its end.
#[derive(Clone, Debug)]
pub enum Fault {
    Noise {
        /// Share lost, in thousandths.
        lost_permille: u32,
        /// Share doubled, in thousandths.
        doubled_permille: u32,
        /// Longest delay.
        delay_ms: u64,
    },
    StoreDown,
    /// The store takes up to 3 s.
    StoreSlow,
    /// The store performs calls and does not answer.
    StoreMute,
    /// The store's documents are set back to their state at the start of the fault.
    StoreRestored,
    /// A host does nothing; its clock goes on.
    Pause(usize),
    Death(usize),
    /// A host is asked to stop, dies at the end and starts again.
    Stop(usize),
    Crash(usize),
    /// As `Crash`, and an operator declares the server gone.
    Gone(usize),
    Faulty(usize),
    Leaving(usize),
    /// Nothing passes between the nodes in the mask and the others; only outwards if `one_way`.
    Cut {
        /// One bit for each node, in the order hosts, servers, store.
        mask: u32,
        one_way: bool,
    },
}

/// Something asked of the system.
#[derive(Clone, Debug)]
pub enum Deed {
    Submit(usize),
    Cancel(Vec<usize>),
    Claim(u64),
    Pressure {
        server: usize,
        /// Thousandths of a core.
        millicores: u32,
    },
    Edit {
        team: usize,
        hosts: [usize; 2],
    },
}

/// A job to submit.
#[derive(Clone, Debug)]
pub struct JobPlan {
    pub tasks: u32,
    /// Size of a task in thousandths of a core.
    pub millicores: u32,
    pub work_ms: u64,
    pub fails: bool,
}

/// The whole schedule of one seed.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    pub faults: Vec<(u64, u64, Fault)>,
    pub deeds: Vec<(u64, Deed)>,
    pub jobs: Vec<JobPlan>,
}

impl Schedule {
    /// Draws a schedule.
    pub fn draw(random: &mut Pcg64Mcg) -> Self {
        let mut schedule = Self::default();
        schedule.draw_faults(random);
        schedule.draw_deeds(random);
        schedule
    }

    fn draw_faults(&mut self, random: &mut Pcg64Mcg) {
        if random.random_ratio(1, 12) {
            self.draw_restore(random);
            return;
        }
        for _ in 0..random.random_range(1..=4) {
            let start_us = random.random_range(4 * SECOND_US..FAULTS_END_US);
            let fault = draw_fault(random);
            let twice = random.random_ratio(1, 4);
            let paired = random.random_ratio(1, 3);
            self.push_fault(random, start_us, fault.clone());
            if twice {
                let again_us = start_us + random.random_range(0..15 * SECOND_US);
                self.push_fault(random, again_us.min(FAULTS_END_US), fault);
            }
            if paired {
                let other = draw_fault(random);
                self.push_fault(random, start_us, other);
            }
        }
    }

    /// Restores the store once, with faults of servers only: if the hosts that know an accepted document die, or learn
    /// of it after the restore, nobody can know it.
    fn draw_restore(&mut self, random: &mut Pcg64Mcg) {
        let start_us = random.random_range(10 * SECOND_US..40 * SECOND_US);
        let end_us = start_us + random.random_range(3 * SECOND_US..30 * SECOND_US);
        let down_us = end_us - SECOND_US;
        self.faults.push((start_us, end_us, Fault::StoreRestored));
        self.faults.push((down_us, end_us, Fault::StoreDown));
        let server = random.random_range(0..SERVERS);
        self.push_fault(random, start_us, Fault::Crash(server));
    }

    fn push_fault(&mut self, random: &mut Pcg64Mcg, start_us: u64, fault: Fault) {
        let longest_ms = [1_500, 4_000, 12_000, 30_000]
            .choose(random)
            .copied()
            .unwrap_or(1_500);
        let length_us = random.random_range(200..longest_ms) * 1_000;
        self.faults.push((start_us, start_us + length_us, fault));
    }

    fn draw_deeds(&mut self, random: &mut Pcg64Mcg) {
        let mut at = |random: &mut Pcg64Mcg, deed| {
            let at_us = random.random_range(2 * SECOND_US..FAULTS_END_US + 20 * SECOND_US);
            self.deeds.push((at_us, deed));
        };
        let jobs = random.random_range(6..14);
        for job in 0..jobs {
            at(random, Deed::Submit(job));
        }
        for _ in 0..random.random_range(0..3) {
            let wave = random.random_range(1..=jobs / 2);
            let chosen = (0..wave).map(|_| random.random_range(0..jobs)).collect();
            at(random, Deed::Cancel(chosen));
        }
        for _ in 0..random.random_range(2..8) {
            let server = random.random_range(0..SERVERS);
            let millicores = random.random_range(500..6_000);
            at(random, Deed::Pressure { server, millicores });
        }
        for key in 0..random.random_range(2..6) {
            for _ in 0..random.random_range(1..4) {
                at(random, Deed::Claim(key));
            }
        }
        for _ in 0..random.random_range(1..6) {
            let team = random.random_range(0..TEAMS.len());
            let hosts = [0; 2].map(|_| random.random_range(0..ALL_HOSTS));
            at(random, Deed::Edit { team, hosts });
        }
        for _ in 0..jobs {
            self.jobs.push(JobPlan {
                tasks: random.random_range(1..=5),
                millicores: random.random_range(500..4_000),
                work_ms: random.random_range(500..25_000),
                fails: random.random_ratio(1, 20),
            });
        }
    }
}

fn draw_fault(random: &mut Pcg64Mcg) -> Fault {
    let host = random.random_range(0..ALL_HOSTS);
    let server = random.random_range(0..SERVERS);
    match random.random_range(0..17) {
        0 | 1 => Fault::Noise {
            lost_permille: random.random_range(0..300),
            doubled_permille: random.random_range(0..300),
            delay_ms: random.random_range(10..12_000),
        },
        2 => Fault::StoreDown,
        3 => Fault::StoreSlow,
        4 => Fault::StoreMute,
        5 => Fault::Cut {
            mask: 1 << (ALL_HOSTS + SERVERS),
            one_way: false,
        },
        6 | 7 => Fault::Pause(host % HOSTS),
        8 => Fault::Death(host),
        9 => Fault::Death(host % HOSTS),
        10 => Fault::Stop(host),
        11 => Fault::Crash(server),
        12 => Fault::Gone(server),
        13 => Fault::Faulty(server),
        14 => Fault::Leaving(server),
        _ => draw_cut(random),
    }
}

fn draw_cut(random: &mut Pcg64Mcg) -> Fault {
    let store = 1 << (ALL_HOSTS + SERVERS);
    let hosts = (1 << HOSTS) - 1;
    let all_hosts = (1 << ALL_HOSTS) - 1;
    let one_host = 1 << random.random_range(0..HOSTS);
    let one_server = 1 << (ALL_HOSTS + random.random_range(0..SERVERS));
    if random.random_ratio(1, 3) {
        // Renewals arrive and their answers do not, so the leases end as late as the owner must assume.
        return Fault::Cut {
            mask: one_server,
            one_way: true,
        };
    }
    let mask = match random.random_range(0..5) {
        0 => store,
        1 => hosts | (store - 1) & !all_hosts,
        2 => one_host,
        3 => one_host | store,
        _ => random.random_range(1..2 * store),
    };
    Fault::Cut {
        mask,
        one_way: random.random_ratio(1, 4),
    }
}
