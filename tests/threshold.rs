//! Compares the threshold with the delay formulas of the paper, computed independently.
use wharfhitch::threshold;

/// D_τ of (3.1) and (3.2) with μ_slow = 1 and μ_fast = R, from the M/M/m/K state probabilities.
fn delay(m: u32, rho: f64, ratio: f64, tau: u32) -> f64 {
    let load = f64::from(m) * rho;
    let mut p = vec![1.0f64];
    for k in 1..=m + tau {
        let rate = load / f64::from(k.min(m));
        p.push(p[k as usize - 1] * rate);
        if p[k as usize] > 1e200 {
            p.iter_mut().for_each(|x| *x *= 1e-200);
        }
    }
    let sum: f64 = p.iter().sum();
    let jobs: f64 = p.iter().enumerate().map(|(k, x)| k as f64 * x).sum::<f64>() / sum;
    let blocked = p[(m + tau) as usize] / sum;
    jobs / (load * ratio) + blocked
}

#[test]
fn threshold_minimises_the_mean_delay() {
    for m in [1u32, 2, 3, 7, 20, 60, 200] {
        for rho in [0.1, 0.5, 0.8, 0.95, 0.999, 1.0, 1.001, 1.05, 1.3, 2.0] {
            for ratio in [1.05, 1.5, 2.0, 4.0, 10.0] {
                let top = (f64::from(m) * (ratio - 1.0)).floor() as u32;
                let tau = threshold(f64::from(m), rho, ratio);
                assert!(tau <= top, "m {m} rho {rho} R {ratio}: {tau} > {top}");
                let found = delay(m, rho, ratio, tau);
                let best = (0..=top.min(600)).map(|t| delay(m, rho, ratio, t)).fold(f64::INFINITY, f64::min);
                assert!(
                    found <= best * (1.0 + 1e-9),
                    "m {m} rho {rho} R {ratio} tau {tau}: {found} > {best}"
                );
            }
        }
    }
}

#[test]
fn threshold_is_the_largest_with_a_negative_difference() {
    for (m, rho, ratio) in [(1, 0.7, 6.0), (4, 0.9, 3.0), (10, 1.0, 4.0), (30, 0.98, 2.5)] {
        let tau = threshold(f64::from(m), rho, ratio);
        assert!(tau > 0, "a case that tests nothing");
        assert!(delay(m, rho, ratio, tau) < delay(m, rho, ratio, tau - 1));
        assert!(delay(m, rho, ratio, tau + 1) >= delay(m, rho, ratio, tau));
    }
}

#[test]
fn invalid_arguments_are_harmless() {
    for m in [0.0, 0.2, 1.0, 5.5] {
        for rho in [0.0, 1.0, 1e9] {
            for ratio in [0.0, 1.0, 1.0 + 1e-12, 50.0] {
                assert!(f64::from(threshold(m, rho, ratio)) <= (m * (ratio - 1.0)).max(0.0));
            }
        }
    }
    assert_eq!(threshold(f64::NAN, 1.0, 2.0), 0);
    assert_eq!(threshold(4.0, f64::NAN, f64::NAN), 0);
}
