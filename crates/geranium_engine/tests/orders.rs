//! Orders, reports and fencing numbers.

use std::time::Duration;

use geranium_core::engine::{EnginePhase, Order, OrderAction};
use geranium_core::id::{FencingNumber, HostId};
use geranium_engine::prelude::*;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::fixture::{
    GROUP, chat, completion, engine_client, form_group, load_order, quick_engine, start_engine,
    wait_for_connect, wait_until,
};
use geranium_fakes::http::GateState;
use geranium_fakes::{EngineConfig, FakeEngine};

fn order(engine: &FakeEngine, fencing: u64, action: OrderAction) -> Order {
    Order {
        host: engine.host().clone(),
        fencing: FencingNumber(fencing),
        action,
    }
}

#[tokio::test]
async fn a_new_engine_is_idle_and_each_report_has_a_higher_sequence() {
    let engine = start_engine(quick_engine("a")).await;

    let first = engine_client()
        .report(engine.address())
        .await
        .expect("the engine reports");
    let second = engine_client()
        .report(engine.address())
        .await
        .expect("the engine reports");

    assert_eq!(first.host, HostId::new("a"));
    assert_eq!(first.phase, EnginePhase::Idle);
    assert_eq!(first.assignment, None);
    assert!(second.sequence > first.sequence);
    assert_eq!(second.incarnation, first.incarnation);
}

#[tokio::test]
async fn an_engine_that_checks_fencing_refuses_a_stale_number_and_returns_the_highest() {
    let engine = start_engine(quick_engine("a")).await;
    let fence = order(&engine, 9, OrderAction::Fence);
    engine_client()
        .send_order(engine.address(), &fence)
        .await
        .expect("the engine applies the order");

    let stale = load_order(&[&engine], 0, 8);
    let outcome = engine_client().send_order(engine.address(), &stale).await;

    let refused = EngineError::StaleFencing(engine.address(), FencingNumber(9));
    assert!(refused.is_not_run());
    assert_eq!(outcome, Err(refused));
    assert_eq!(engine.report().assignment, None);
    assert_eq!(engine.stats().orders_stale, 1);
}

#[tokio::test]
async fn an_engine_that_ignores_fencing_numbers_applies_a_stale_order() {
    let engine = start_engine(EngineConfig {
        checks_fencing: false,
        ..quick_engine("a")
    })
    .await;
    let fence = order(&engine, 9, OrderAction::Fence);
    engine_client()
        .send_order(engine.address(), &fence)
        .await
        .expect("the engine applies the order");

    let stale = load_order(&[&engine], 0, 8);
    let report = engine_client()
        .send_order(engine.address(), &stale)
        .await
        .expect("the engine applies the order");

    let assignment = report.assignment.expect("the order was applied");
    assert_eq!(assignment.group.as_str(), GROUP);
    assert_eq!(assignment.fencing, FencingNumber(8));
}

#[tokio::test]
async fn the_same_order_with_a_higher_number_renews_it_without_loading_again() {
    let engine = start_engine(EngineConfig {
        load_time: Duration::from_secs(3_600),
        ..quick_engine("a")
    })
    .await;
    let first = load_order(&[&engine], 0, 1);
    engine_client()
        .send_order(engine.address(), &first)
        .await
        .expect("the engine applies the order");

    let renewed = load_order(&[&engine], 0, 2);
    let report = engine_client()
        .send_order(engine.address(), &renewed)
        .await
        .expect("the engine applies the order");

    assert_eq!(report.phase, EnginePhase::Loading);
    assert_eq!(
        report.assignment.expect("the order was applied").fencing,
        FencingNumber(2)
    );
    let refused = engine_client()
        .stream_completion(engine.address(), &completion("r", 2, &chat("hi", 1)))
        .await;
    let Err(e @ EngineError::Refused(_, 503, ..)) = refused else {
        panic!("{refused:?}");
    };
    assert!(e.is_not_run());
}

#[tokio::test]
async fn a_released_engine_is_idle_again() {
    let engine = start_engine(quick_engine("a")).await;
    form_group(&engine_client(), &[&engine], 1)
        .await
        .expect("the group is formed");

    let release = order(&engine, 2, OrderAction::Release);
    let report = engine_client()
        .send_order(engine.address(), &release)
        .await
        .expect("the engine applies the order");

    assert_eq!(report.phase, EnginePhase::Idle);
    assert_eq!(report.assignment, None);
    assert_eq!(report.fencing, FencingNumber(2));
}

#[tokio::test]
async fn an_order_for_another_host_is_refused() {
    let engine = start_engine(quick_engine("a")).await;
    let other = Order {
        host: HostId::new("b"),
        ..order(&engine, 1, OrderAction::Fence)
    };

    let outcome = engine_client().send_order(engine.address(), &other).await;

    assert!(matches!(outcome, Err(EngineError::Refused(_, 400, kind, ..)) if kind == "wrong_host"));
    assert_eq!(engine.report().fencing, FencingNumber(0));
}

#[tokio::test]
async fn an_order_whose_answer_was_lost_may_be_in_force() {
    let engine = start_engine(quick_engine("a")).await;
    engine.set_fault(&EngineFault {
        lose_order_answers: Some(1),
        ..EngineFault::default()
    });

    let outcome = engine_client()
        .send_order(engine.address(), &load_order(&[&engine], 0, 1))
        .await;
    let report = engine_client()
        .report(engine.address())
        .await
        .expect("the engine reports");

    let Err(e @ EngineError::NoAnswer(_)) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(!e.is_not_run());
    assert!(report.assignment.is_some());
}

#[tokio::test]
async fn a_refused_connection_means_that_the_call_was_not_sent() {
    let engine = start_engine(quick_engine("a")).await;
    let address = engine.address();
    engine.set_fault(&EngineFault {
        connections: Some(GateState::Refuse),
        ..EngineFault::default()
    });
    wait_for_connect(address, false).await;

    let outcome = engine_client().report(address).await;

    assert!(matches!(outcome, Err(EngineError::NotSent(_))));
}

#[tokio::test]
async fn a_paused_engine_gives_no_answer() {
    let engine = start_engine(quick_engine("a")).await;
    engine.set_fault(&EngineFault {
        pause_ms: Some(3_600_000),
        ..EngineFault::default()
    });
    let client = HttpEngineClient::new(EngineClientConfig {
        call_timeout: Duration::from_millis(20),
        ..EngineClientConfig::default()
    });

    let outcome = client.report(engine.address()).await;

    assert!(matches!(outcome, Err(EngineError::NoAnswer(_))));
}

#[tokio::test]
async fn a_crashed_engine_restarts_idle_with_a_new_incarnation() {
    let engine = start_engine(quick_engine("a")).await;
    form_group(&engine_client(), &[&engine], 5)
        .await
        .expect("the group is formed");
    let before = engine.report();

    engine.set_fault(&EngineFault {
        fail_over: true,
        ..EngineFault::default()
    });
    let after = engine_client()
        .report(engine.address())
        .await
        .expect("the engine reports");

    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!(after.phase, EnginePhase::Idle);
    assert_eq!(after.assignment, None);
    assert_eq!(
        after.fencing,
        FencingNumber(0),
        "the restart also clears the fencing number"
    );
}

#[tokio::test]
async fn the_report_shows_that_the_engine_is_leaving() {
    let engine = start_engine(quick_engine("a")).await;

    engine.set_fault(&EngineFault {
        leaving: Some(true),
        ..EngineFault::default()
    });

    let report = engine_client()
        .report(engine.address())
        .await
        .expect("the engine reports");
    assert!(report.leaving);
}

#[tokio::test]
async fn load_figures_are_reported_late() {
    let lagging = start_engine(EngineConfig {
        report_lag: Duration::from_secs(3_600),
        ..quick_engine("a")
    })
    .await;
    let prompt = start_engine(quick_engine("b")).await;
    for engine in [&lagging, &prompt] {
        form_group(&engine_client(), &[engine], 1)
            .await
            .expect("the group is formed");
    }
    let endless = completion("r", 1, &chat("hi", u32::MAX));

    let mut streams = Vec::new();
    for engine in [&lagging, &prompt] {
        let stream = engine_client()
            .stream_completion(engine.address(), &endless)
            .await;
        streams.push(stream.expect("accepted"));
        wait_until(|| engine.stats().executions == 1).await;
    }
    wait_until(|| prompt.report().running == 1).await;

    assert_eq!(lagging.report().running, 0);
    assert!(prompt.report().kv_free_tokens < lagging.report().kv_free_tokens);
}
