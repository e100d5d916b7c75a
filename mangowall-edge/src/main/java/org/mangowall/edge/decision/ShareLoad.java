package org.mangowall.edge.decision;

/**
 * How a workspace stands against its max-min share; over 1 when it takes more.
 *
 * @param ofRated against its share of what the engines are rated to bear: what it is owed
 * @param ofTaken against its share of what they bear just now, if that is more: what others like it get
 */
record ShareLoad(double ofRated, double ofTaken) {

    static final ShareLoad NONE = new ShareLoad(0, 0);
}
