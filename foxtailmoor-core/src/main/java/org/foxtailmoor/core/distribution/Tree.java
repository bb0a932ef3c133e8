package org.foxtailmoor.core.distribution;

/** The two trees over the nodes of a zone. A node's parents in them differ in most cases. */
enum Tree {
    /** Carries updates. */
    A("tree-a/"),
    /** Carries adverts, so that a dead inner node of tree A does not delay its children long. */
    B("tree-b/");

    private final String mSalt;

    Tree(String salt) {
        mSalt = salt;
    }

    /** Returns the rendezvous key that orders the nodes of a zone. */
    String keyOf(String zone) {
        return mSalt + zone;
    }
}
