/** A stand-in of a model engine. */
package org.mangowall.standin.engine;
