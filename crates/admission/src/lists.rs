//! Doubly linked lists threaded through one table of nodes: each node is on one list at most, and
//! every operation takes the same few steps however many nodes there are.

const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Node {
    before: u32,
    after: u32,
    /// The list that it is on; `N` or above stands for none.
    list: u8,
}

const LOOSE: Node = Node {
    before: NONE,
    after: NONE,
    list: u8::MAX,
};

#[derive(Clone, Copy)]
struct Ends {
    first: u32,
    last: u32,
    len: usize,
}

/// `N` lists over nodes numbered from 0.
pub(crate) struct Lists<const N: usize> {
    nodes: Vec<Node>,
    lists: [Ends; N],
}

impl<const N: usize> Default for Lists<N> {
    fn default() -> Self {
        Lists {
            nodes: Vec::new(),
            lists: [Ends {
                first: NONE,
                last: NONE,
                len: 0,
            }; N],
        }
    }
}

impl<const N: usize> Lists<N> {
    /// Nodes on a list.
    pub(crate) fn len(&self, list: usize) -> usize {
        self.lists[list].len
    }

    /// The node that has been on a list for longest.
    pub(crate) fn first(&self, list: usize) -> Option<u32> {
        Some(self.lists[list].first).filter(|n| *n != NONE)
    }

    /// The node that follows another on its list.
    pub(crate) fn after(&self, node: u32) -> Option<u32> {
        Some(self.nodes.get(node as usize)?.after).filter(|n| *n != NONE)
    }

    /// The node that came last.
    pub(crate) fn last(&self, list: usize) -> Option<u32> {
        Some(self.lists[list].last).filter(|n| *n != NONE)
    }

    /// The node that precedes another on its list.
    pub(crate) fn before(&self, node: u32) -> Option<u32> {
        Some(self.nodes.get(node as usize)?.before).filter(|n| *n != NONE)
    }

    /// The list that a node is on.
    pub(crate) fn list_of(&self, node: u32) -> Option<usize> {
        self.nodes
            .get(node as usize)
            .map(|n| n.list as usize)
            .filter(|list| *list < N)
    }

    /// Puts a node at the end of a list, wherever it was before.
    pub(crate) fn push(&mut self, list: usize, node: u32) {
        self.remove(node);
        let at = node as usize;
        if at >= self.nodes.len() {
            self.nodes.resize(at + 1, LOOSE);
        }
        let ends = &mut self.lists[list];
        self.nodes[at] = Node {
            before: ends.last,
            after: NONE,
            list: list as u8,
        };
        match ends.last {
            NONE => ends.first = node,
            last => self.nodes[last as usize].after = node,
        }
        ends.last = node;
        ends.len += 1;
    }

    /// Takes a node off its list, if it is on one.
    pub(crate) fn remove(&mut self, node: u32) {
        let Some(held) = self
            .nodes
            .get(node as usize)
            .copied()
            .filter(|n| (n.list as usize) < N)
        else {
            return;
        };
        let ends = &mut self.lists[held.list as usize];
        match held.before {
            NONE => ends.first = held.after,
            before => self.nodes[before as usize].after = held.after,
        }
        match held.after {
            NONE => ends.last = held.before,
            after => self.nodes[after as usize].before = held.before,
        }
        ends.len -= 1;
        self.nodes[node as usize] = LOOSE;
    }
}
