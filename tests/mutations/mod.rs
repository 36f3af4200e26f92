//! Random and mutated inputs for decoders.

use std::panic::{self, AssertUnwindSafe};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SEED: u64 = 17;

const CASES_PER_DECODER: u32 = 1_000;

/// Most bytes of an input, so that no decoder has a reason to allocate much.
pub const INPUT_MAX_BYTES: usize = 4_096;

/// Growth of the process's memory that all cases together may cause, in KB.
pub const GROWTH_MAX_KB: u64 = 64 << 10;

/// Name, a valid input, and the decoder.
pub type Decoder = (&'static str, Vec<u8>, fn(&[u8]));

/// Runs each decoder on many inputs; none may panic, and the process's memory may not grow beyond a bound.
pub fn check_decoders(decoders: Vec<Decoder>) {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let before_kb = peak_kb();
    for (name, valid, decode) in decoders {
        for case in 0..CASES_PER_DECODER {
            let bytes = next_input(&mut rng, &valid);
            let result = panic::catch_unwind(AssertUnwindSafe(|| decode(&bytes)));
            assert!(result.is_ok(), "{name}, case {case}: {bytes:02x?}");
        }
    }
    let growth_kb = peak_kb() - before_kb;
    assert!(growth_kb < GROWTH_MAX_KB, "{growth_kb} KB");
}

/// Random bytes in a tenth of all cases, else the valid bytes after one to four changes.
pub fn next_input(rng: &mut Pcg64Mcg, valid: &[u8]) -> Vec<u8> {
    if rng.random_ratio(1, 10) {
        let length = rng.random_range(0..INPUT_MAX_BYTES);
        return (0..length).map(|_| rng.random()).collect();
    }
    let mut bytes = valid.to_vec();
    for _ in 0..rng.random_range(1..=4) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, rng.random()),
            // The largest length or number of a frame, a record and JSON.
            2 => drop(bytes.splice(at..at, [0xff; 9].into_iter().chain([1]))),
            3 => drop(bytes.splice(at..at, *b"99999999999999999999")),
            _ => {
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 1 << rng.random_range(0..8);
                }
            }
        }
    }
    bytes
}

/// Peak of the process's memory, in KB.
pub fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let digits = line.unwrap().split_whitespace().nth(1);
    digits.unwrap().parse().unwrap()
}
