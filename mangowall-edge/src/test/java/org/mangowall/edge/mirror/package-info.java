/** Tests of the package of the same name. */
package org.mangowall.edge.mirror;
