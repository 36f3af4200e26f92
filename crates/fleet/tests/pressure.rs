//! Interference of best-effort tasks with service tasks: estimation and throttling.

mod common;

use std::f64::consts::TAU;

use common::{Harness, best_effort_step, service_step};
use primrosestack_fleet::interference::{BestEffortUse, InterferenceEstimate, InterferenceModel};
use primrosestack_fleet::job::StepSpec;
use test_case::test_case;

/// Tail latency without load in the model below.
const BASE_MS: f64 = 4.0;

/// Tail latency in whole milliseconds at a given utilization; from 98% on it stays constant.
fn tail_ms(utilization: f64) -> u32 {
    let left = (1.0 - utilization).max(0.02);
    (1..2_000)
        .find(|&ms| f64::from(ms) >= BASE_MS / left)
        .unwrap_or(2_000)
}

/// Learns from 60 reports, one per second, of each of two servers. The load of the service tasks varies by half with a
/// period of 10 s. A best-effort image with the given weight per tenth of the server is present on one server half of
/// the time.
fn learn(weight: f64) -> InterferenceModel {
    let mut interference = InterferenceModel::default();
    for second in 0..60_u32 {
        let load = 0.42 * (1.0 + 0.5 * (f64::from(second) * TAU / 10.0).sin());
        let tenths = if second % 14 < 7 { 1.2 } else { 0.0 };
        let uses = [BestEffortUse {
            image: "batch".into(),
            tenths,
        }];
        let tail = tail_ms(load + weight * tenths);
        interference.learn("web", tail, &uses, false);
        interference.learn("web", tail_ms(load), &[], false);
    }
    interference
}

/// Guards against load variation of a service task hiding the images that interfere with it.
#[test_case(0.25; "heavy")]
#[test_case(0.15; "moderate")]
fn interfering_images_are_detected(weight: f64) {
    let found = learn(weight).weight("web", "batch");
    assert!(
        found > weight / 2.0,
        "expected about {weight}, found {found}"
    );
}

/// Guards against load variation of a service task being attributed to harmless images, which would then be kept off
/// all servers.
#[test]
fn load_is_not_attributed_to_harmless_images() {
    let found = learn(0.01).weight("web", "batch");
    assert!(found < 0.05, "found {found}");
}

/// Guards against tails of a server with exhausted CPU being attributed to the images that happen to run there.
#[test]
fn reports_of_a_saturated_server_do_not_change_weights() {
    let mut interference = learn(0.01);
    let before = interference.weight("web", "batch");
    let uses = [BestEffortUse {
        image: "batch".into(),
        tenths: 5.0,
    }];
    for _ in 0..10 {
        interference.learn("web", 300, &uses, true);
    }
    assert!((interference.weight("web", "batch") - before).abs() < 1e-9);
}

/// A server with one service task well below its target and four best-effort tasks of a harmless image.
fn below_target() -> (Harness, primrosestack_fleet::job::JobId) {
    let mut harness = Harness::open(&["one"]);
    let service = harness.submit(1, 0, vec![service_step(1, "web")]);
    harness.plan();
    harness.confirm_starts();
    harness.learn_no_interference("web", "light");
    harness.report_tails("one", service, 6);
    harness.submit(2, 2, vec![best_effort_step(4, "light")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 4);
    harness.now_ms += 500;
    harness.report_tails_and_cpu("one", service, 6, 1_000);
    harness.rates.clear();
    (harness, service)
}

/// Guards against waiting for the model to find a cause when a tail exceeds its target beside images considered
/// harmless: the service contract allows only 4 s.
#[test]
fn a_tail_above_its_target_throttles_all_best_effort_tasks_at_once() {
    let (mut harness, service) = below_target();
    harness.now_ms += 500;
    harness.report_tails_and_cpu("one", service, 25, 1_000);
    assert_eq!(harness.rates.len(), 4);
    assert!(
        harness
            .rates
            .iter()
            .all(|&(_, _, _, percent)| percent <= 50)
    );
    harness.rates.clear();
    harness.now_ms += 400;
    harness.report_tails_and_cpu("one", service, 22, 400);
    assert_eq!(harness.rates.len(), 4);
    assert!(
        harness.rates.iter().all(|&(_, _, _, percent)| percent == 0),
        "the second report halts all tasks"
    );
}

/// Guards against best-effort tasks staying halted after the tail has fallen below its target.
#[test]
fn rates_are_raised_again_after_the_tail_has_fallen() {
    let (mut harness, service) = below_target();
    for tail_ms in [25, 25, 25, 6, 6, 6, 6] {
        harness.now_ms += 500;
        harness.report_tails_and_cpu("one", service, tail_ms, 1_000);
    }
    let last: Vec<u32> = harness.rates[harness.rates.len() - 4..]
        .iter()
        .map(|&(_, _, _, percent)| percent)
        .collect();
    assert_eq!(last, [100; 4]);
}

/// Guards against throttling all images alike: an interfering image takes many times what a harmless one would have to
/// give up.
#[test]
fn the_image_that_interferes_most_is_throttled_first() {
    let mut harness = Harness::open(&["one"]);
    let service = harness.submit(1, 0, vec![service_step(1, "web")]);
    harness.plan();
    harness.confirm_starts();
    harness.learn_no_interference("web", "light");
    harness.learn_no_interference("web", "noisy");
    harness.report_tails("one", service, 6);
    harness.submit(2, 2, vec![best_effort_step(2, "light")]);
    let noisy_job = harness.submit(3, 2, vec![best_effort_step(2, "noisy")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 4);
    harness.shard.merge_interference(&[InterferenceEstimate {
        service_image: "web".into(),
        best_effort_image: "noisy".into(),
        weight: 0.5,
        variance: 0.000_1,
        tail_floor_ms: 0.0,
    }]);
    harness.rates.clear();
    harness.now_ms += 500;
    harness.report_tails_and_cpu("one", service, 12, 1_000);
    assert!(!harness.rates.is_empty());
    assert!(
        harness
            .rates
            .iter()
            .all(|(_, task, _, _)| task.job == noisy_job)
    );
}

/// Guards against a task that is larger than any server being started beside another one, when their sum wraps.
#[test]
fn the_largest_task_fits_nowhere() {
    let mut harness = Harness::open(&["one"]);
    let small = harness.submit(7, 2, vec![best_effort_step(1, "small")]);
    harness.plan();
    assert_eq!(harness.confirm_starts().len(), 1);
    let largest = StepSpec {
        cpu_millis: u32::MAX,
        ..best_effort_step(1, "largest")
    };
    harness.submit(8, 2, vec![largest]);
    for _ in 0..100 {
        harness.now_ms += 500;
        harness.report_running(&[small]);
        harness.plan();
        assert!(harness.starts.is_empty(), "{:?}", harness.starts);
    }
}
