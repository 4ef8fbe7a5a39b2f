//! Tests of the memory limit for incomplete answers, some of which never end.

use geranium_core::limit::ByteBudget;
use proptest::prelude::*;

/// Total budget, in bytes.
const TOTAL: usize = 40_000_000;
/// Bytes that arrive at once.
const FRAME: usize = 64_000;
/// Size of an ordinary answer, in bytes.
const SMALL: usize = 5_000;

#[test]
fn unbounded_answers_leave_room_for_ordinary_ones() {
    for growing in [1, 10, 300] {
        let mut budget = ByteBudget::new(TOTAL);
        let mut own = vec![0; growing];
        // The answers grow in turns until none may grow any more.
        let mut grew = true;
        while grew {
            grew = false;
            for held in &mut own {
                if budget.try_reserve(*held, FRAME) {
                    *held += FRAME;
                    grew = true;
                }
            }
        }
        assert!(budget.held() <= TOTAL);
        assert!(
            budget.try_reserve(0, SMALL),
            "{growing} endless answers used up the budget"
        );
    }
}

#[test]
fn released_bytes_can_be_reserved_again() {
    let mut budget = ByteBudget::new(TOTAL);
    for _ in 0..10_000 {
        assert!(budget.try_reserve(0, FRAME));
        budget.release(FRAME);
    }
    assert_eq!(budget.held(), 0);
}

proptest! {
    #[test]
    fn reservations_never_exceed_the_total(
        steps in prop::collection::vec((0_usize..8, 0_usize..30_000, any::<bool>()), 0..200),
    ) {
        let mut budget = ByteBudget::new(100_000);
        let mut own = [0_usize; 8];
        for (i, bytes, ends) in steps {
            if ends {
                budget.release(own[i]);
                own[i] = 0;
            } else if budget.try_reserve(own[i], bytes) {
                own[i] += bytes;
            }
            prop_assert_eq!(budget.held(), own.iter().sum::<usize>());
            prop_assert!(budget.held() <= 100_000);
        }
    }
}
