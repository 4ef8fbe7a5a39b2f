//! Breadth-first search over the states of a model.

use pathfinding::prelude::{bfs, bfs_reach};

use super::node::Node;
use super::report::{CheckReport, PropertyReport, Verdict, Violation, WitnessReport};
use crate::{Model, Property};

type ModelNode<M> = Node<<M as Model>::State, <M as Model>::Action>;

/// Visits every reachable state of a model and checks its properties.
pub fn check<M: Model>(model: &M) -> CheckReport {
    let properties = model.properties();
    let witnesses = model.witnesses();
    let mut violated = vec![false; properties.len()];
    let mut reached = vec![None; witnesses.len()];
    let (mut states, mut depth) = (0, 0);
    for node in bfs_reach(start(model), |node| successors(model, node)) {
        states += 1;
        depth = depth.max(node.depth);
        for (property, violated) in properties.iter().zip(&mut violated) {
            *violated |= !(property.holds)(&node.state);
        }
        for (witness, reached) in witnesses.iter().zip(&mut reached) {
            if reached.is_none() && (witness.shows)(&node.state) {
                *reached = Some(node.depth);
            }
        }
    }
    let properties = properties
        .iter()
        .zip(violated)
        .map(|(property, violated)| property_report(model, property, violated))
        .collect();
    let witnesses = witnesses
        .iter()
        .zip(reached)
        .map(|(witness, depth)| WitnessReport {
            name: witness.name,
            depth,
        })
        .collect();
    CheckReport {
        model: model.name(),
        states,
        depth,
        properties,
        witnesses,
    }
}

/// Returns the shortest way to a state that violates a property.
pub fn find_violation<M: Model>(model: &M) -> Option<Violation> {
    let properties = model.properties();
    let broken = |state: &M::State| {
        let property = properties
            .iter()
            .find(|property| !(property.holds)(state))?;
        Some(property.name)
    };
    let path = search(model, |state| broken(state).is_some())?;
    let last = path.last()?;
    Some(Violation {
        model: model.name(),
        property: broken(&last.state)?,
        trace: trace_of(&path),
    })
}

fn property_report<M: Model>(
    model: &M,
    property: &Property<M::State>,
    violated: bool,
) -> PropertyReport {
    let path = violated.then(|| search(model, |state| !(property.holds)(state)));
    let verdict = match path.flatten() {
        Some(path) => Verdict::Violated(trace_of(&path)),
        None => Verdict::Held,
    };
    PropertyReport {
        name: property.name,
        verdict,
    }
}

fn search<M: Model>(model: &M, found: impl Fn(&M::State) -> bool) -> Option<Vec<ModelNode<M>>> {
    let successors = |node: &ModelNode<M>| successors(model, node);
    bfs(&start(model), successors, |node| found(&node.state))
}

fn start<M: Model>(model: &M) -> ModelNode<M> {
    Node {
        state: model.initial(),
        action: None,
        depth: 0,
    }
}

fn successors<M: Model>(model: &M, node: &ModelNode<M>) -> Vec<ModelNode<M>> {
    let next = |(action, state)| Node {
        state,
        action: Some(action),
        depth: node.depth + 1,
    };
    model
        .successors(&node.state)
        .into_iter()
        .map(next)
        .collect()
}

fn trace_of<S, A: ToString>(path: &[Node<S, A>]) -> Vec<String> {
    path.iter()
        .filter_map(|node| node.action.as_ref())
        .map(ToString::to_string)
        .collect()
}
